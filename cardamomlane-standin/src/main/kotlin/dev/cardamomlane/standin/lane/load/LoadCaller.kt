package dev.cardamomlane.standin.lane.load

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.caller.CallerAnswer
import dev.cardamomlane.standin.lane.caller.CallerRoute
import dev.cardamomlane.standin.lane.record.StatementChecks
import java.io.IOException
import kotlin.random.Random

/**
 * A caller that stays with one host, runs operations one after another, and tries each of them again as long as that is
 * safe and its time lasts. It uses a session until the session ends.
 */
internal class LoadCaller(
    private val installation: LaneInstallation,
    private val number: Int,
    private val key: String,
    private val history: LoadHistory,
    private val random: Random,
    oddShare: Double,
) {
    private val record = installation.record
    private val route = CallerRoute.entries[number % CallerRoute.entries.size]
    private val texts = OddText(random, oddShare)
    private var connection: AutoCloseable? = null
    private var session: LoadSession? = null

    /** Blocks until [isOver] says so. */
    fun run(isOver: () -> Boolean) {
        while (!isOver()) {
            operate(OperationKind.entries.random(random))
            Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS))
        }
    }

    private fun operate(kind: OperationKind) {
        val startMillis = record.nowMillis
        var outcome = Outcome.FAILED
        for (attempt in 1..MAX_ATTEMPTS) {
            val answers = attempt(kind)
            outcome = outcomeOf(kind, answers)
            val isOutOfTime = record.nowMillis - startMillis > LIMIT_MILLIS
            if (outcome != Outcome.FAILED || isOutOfTime) break
            Thread.sleep(random.nextLong(RETRY_MILLIS))
        }
        history.onOperation(outcome, record.nowMillis - startMillis)
    }

    private fun outcomeOf(kind: OperationKind, answers: List<CallerAnswer>): Outcome {
        val last = answers.lastOrNull() ?: return Outcome.FAILED
        return when {
            last.isDone -> Outcome.DONE
            last.code in StatementChecks.NOT_RUN_CODES || !kind.mayWrite || !isEnd(kind, answers) -> Outcome.FAILED
            last.isCut -> Outcome.CUT
            else -> Outcome.UNKNOWN
        }
    }

    /** Whether the last statement of [answers] is the one that decides whether anything is kept. */
    private fun isEnd(kind: OperationKind, answers: List<CallerAnswer>) =
        kind == OperationKind.WRITE || answers.size == kind.statementCount + 2

    /** Returns the answers of one attempt, up to the first that is no success; none if there was no session. */
    private fun attempt(kind: OperationKind): List<CallerAnswer> {
        val session = session() ?: return emptyList()
        session.begin()
        val answers = ArrayList<CallerAnswer>()
        for (step in steps(kind, session)) {
            answers += step()
            if (!answers.last().isDone) break
            if (answers.size <= kind.statementCount && random.nextInt(PAUSE_SHARE) == 0) {
                Thread.sleep(random.nextLong(MAX_STATEMENT_PAUSE_MILLIS))
            }
        }
        val isLeft = answers.last().isInTransaction || !session.isOpen
        if (isLeft || (random.nextInt(CHANGE_SHARE) == 0 && !session.change())) endSession()
        return answers
    }

    private fun steps(kind: OperationKind, session: LoadSession): List<() -> CallerAnswer> = when (kind) {
        OperationKind.READ -> listOf(session::read)
        OperationKind.WRITE -> listOf(session::write)
        OperationKind.READ_TRANSACTION, OperationKind.TRANSACTION -> buildList {
            add { session.beginTransaction(isReadOnly = !kind.mayWrite) }
            repeat(kind.statementCount) { index ->
                add(if (kind.mayWrite && index % 2 == 0) session::write else session::read)
            }
            val isCommit = random.nextInt(ROLLBACK_SHARE) > 0
            add { session.endTransaction(isCommit) }
        }
    }

    /** Returns the open session, or opens one. */
    private fun session(): LoadSession? {
        session?.takeIf { it.isOpen }?.let { return it }
        endSession()
        return try {
            connect()
        } catch (e: IOException) {
            history.onRefused(e.javaClass.simpleName)
            null
        }
    }

    private fun connect(): LoadSession? {
        val name = "c$number-${record.nowMillis}"
        val opened = installation.connect(name, number % installation.hosts.size, number, route.database, key)
        connection = opened
        if (!opened.isOpen) {
            history.onRefused(opened.refusal ?: "closed")
            return null
        }
        val ready = LoadSession(opened, name, texts, random, installation.ids, history).also { session = it }
        if (ready.prepare()) return ready
        history.onRefused("values or plans")
        endSession()
        return null
    }

    private fun endSession() {
        connection?.close()
        connection = null
        session = null
    }

    private companion object {
        const val MAX_ATTEMPTS = 4
        const val LIMIT_MILLIS = 2_000L
        const val RETRY_MILLIS = 60L
        const val MAX_PAUSE_MILLIS = 120L
        const val PAUSE_SHARE = 3
        const val MAX_STATEMENT_PAUSE_MILLIS = 60L
        const val CHANGE_SHARE = 12
        const val ROLLBACK_SHARE = 8
    }
}
