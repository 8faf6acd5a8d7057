package dev.cardamomlane.standin.lane.load

import dev.cardamomlane.standin.lane.caller.CallerAnswer
import dev.cardamomlane.standin.lane.caller.CallerSession
import dev.cardamomlane.standin.lane.caller.StatementIds
import dev.cardamomlane.standin.lane.record.SentStatement
import dev.cardamomlane.standin.lane.target.PreparedPlan
import kotlin.random.Random

/**
 * What one session of a caller has: its values, its plans and the operation under way. Tells [history] of each statement.
 *
 * Owned by one thread.
 */
internal class LoadSession(
    private val session: CallerSession,
    private val name: String,
    private val texts: OddText,
    private val random: Random,
    private val ids: StatementIds,
    private val history: LoadHistory,
) {
    /** The names of the plans, of which only [writePlan] writes. */
    private val planNames = List(PLANS) { texts.inner("s$it") }.distinct()
    private val writePlan = planNames.last()
    private val valueNames = List(VALUE_NAMES) { texts.inner("v$it") }
    private var values = emptyMap<String, String>()
    private var plans = emptyMap<String, PreparedPlan>()
    private var operationCount = 0
    private var dataCount = 0
    private var isInTransaction = false

    val isOpen: Boolean get() = session.isOpen

    /** Begins an attempt of an operation. */
    fun begin() {
        operationCount++
        isInTransaction = false
    }

    /** Gives the session values and plans. Returns false if that fails, which ends the session. */
    fun prepare(): Boolean = (0 until random.nextInt(1, MAX_VALUES)).all { set() } && planNames.all(::prepare)

    /** Changes a value or a plan. Returns false if that fails, which ends the session. */
    fun change(): Boolean {
        if (random.nextBoolean()) return set()
        val name = planNames.random(random)
        return run("CLOSE $name").isDone && prepare(name)
    }

    private fun set(): Boolean {
        val name = valueNames.random(random)
        val value = texts.last("x${random.nextInt(VALUES)}")
        val answer = run("SET $name $value")
        if (answer.isDone) values = values + (name to value)
        return answer.isDone
    }

    private fun prepare(name: String): Boolean {
        val plan = PreparedPlan(isWrite = name == writePlan, texts.last("q${random.nextInt(SHAPES)}"))
        val answer = run("PREPARE $name ${if (plan.isWrite) "WRITE" else "READ"} ${plan.shape}")
        if (answer.isDone) plans = plans + (name to plan)
        return answer.isDone
    }

    fun beginTransaction(isReadOnly: Boolean): CallerAnswer =
        run(if (isReadOnly) "BEGIN READ" else "BEGIN").also { isInTransaction = it.isDone }

    fun endTransaction(isCommit: Boolean): CallerAnswer = run(if (isCommit) "COMMIT" else "ROLLBACK")

    fun read(): CallerAnswer = when {
        random.nextBoolean() -> run("READ ${lastItem()}")
        else -> planNames.filter { it != writePlan }.random(random).let { run("EXEC $it ${lastItem()}", plans[it]) }
    }

    fun write(): CallerAnswer {
        val fields = "${texts.inner(item())} ${texts.last("$name-${dataCount++}")}"
        return if (random.nextBoolean()) run("WRITE $fields") else run("EXEC $writePlan $fields", plans[writePlan])
    }

    private fun lastItem() = texts.last(item())

    private fun item() = "${random.nextInt(ITEMS)}a"

    private fun run(text: String, plan: PreparedPlan? = null): CallerAnswer {
        val id = texts.inner(ids.next())
        history.add(SentStatement(id, text, "$name/$operationCount", isInTransaction, plan, values))
        val answer = session.run(text, id)
        history.onAnswer(answer)
        session.unaskedMessage?.let(history::onUnaskedMessage)
        return answer
    }

    private companion object {
        const val PLANS = 3
        const val MAX_VALUES = 4
        const val VALUE_NAMES = 3
        const val VALUES = 5
        const val SHAPES = 4
        const val ITEMS = 20
    }
}
