package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TransactionState
import kotlin.random.Random

/** A caller that runs statements and transactions one after another, with pauses of [pauseMillis] in between. */
class ScheduledCaller(
    private val name: String,
    private val fixture: HostFixture,
    private val random: Random,
    val key: String,
    val host: Int,
    private val database: String,
    private val pauseMillis: IntRange,
) : CallerLink {
    private val session: CallerSession = fixture.hosts[host].openSession(this, database, key)
    private var operation: ScheduledOperation? = null
    private var isOver = false
    val operations = ArrayList<ScheduledOperation>()
    val statements = ArrayList<SentStatement>()

    /** What was wrong with the answers. */
    val findings = ArrayList<String>()

    /** The statement that has no answer yet, or null. */
    val outstanding: SentStatement? get() = statements.lastOrNull()?.takeIf { it.answer == null && !it.isLeft }

    override fun opened() = nextOperation()

    override fun refuse(error: StatementError) {
        isOver = true
    }

    /** Ends the connection, possibly within an operation. */
    fun leave() {
        if (isOver) return
        isOver = true
        outstanding?.isLeft = true
        fixture.hosts[host].closeSession(session)
    }

    /** The host's process has ended. */
    fun onHostEnded() {
        isOver = true
    }

    private fun nextOperation() = later {
        val number = operations.size
        val steps = if (random.nextInt(3) == 0) listOf(statement("$name-$number-0")) else transaction("$name-$number")
        val next = ScheduledOperation(steps)
        operations += next
        operation = next
        sendNext(next)
    }

    private fun transaction(prefix: String): List<Statement> {
        val isReadOnly = random.nextInt(3) == 0
        val statements = (0..random.nextInt(MAX_STATEMENTS)).map { statement("$prefix-$it", isReadOnly) }
        val end = if (random.nextInt(6) == 0) Statement.Rollback else Statement.Commit
        return listOf(Statement.Begin(isReadOnly)) + statements + end
    }

    private fun statement(text: String, isReadOnly: Boolean = false): Statement =
        if (isReadOnly || random.nextBoolean()) {
            Statement.Run(Access.READ, "READ $text")
        } else {
            Statement.Run(Access.WRITE, "WRITE $text")
        }

    private fun sendNext(current: ScheduledOperation) = send(current, current.steps[current.nextStep++])

    private fun send(current: ScheduledOperation, statement: Statement) {
        val text = (statement as? Statement.Run)?.text ?: statement::class.simpleName!!.uppercase()
        val sent = SentStatement("$name.${statements.size}", text, fixture.timers.nowMillis())
        statements += sent
        val mayCommit = statement is Statement.Commit || !current.isTransaction
        current.commitCounts = if (mayCommit) 0..1 else 0..0
        session.onStatement(sent.id, statement)
    }

    override fun answer(answer: CallerAnswer) {
        val sent = statements.last()
        if (sent.answer != null || sent.id != answer.id) findings += "${sent.id} (${sent.text}) got a second answer"
        sent.answer = answer
        val current = operation ?: return
        val error = answer.error
        when {
            answer.state == TransactionState.IDLE -> onEnded(current, sent, answer)
            isAtEnd(sent) -> findings += "${sent.id} (${sent.text}) ended a transaction, which is ${answer.state} still"
            error != null -> later { endFailed(current) }
            else -> later { sendNext(current) }
        }
    }

    private fun isAtEnd(sent: SentStatement) = sent.text == "COMMIT" || sent.text == "ROLLBACK"

    private fun endFailed(current: ScheduledOperation) {
        send(current, if (random.nextBoolean()) Statement.Commit else Statement.Rollback)
    }

    private fun onEnded(current: ScheduledOperation, sent: SentStatement, answer: CallerAnswer) {
        val code = answer.error?.code
        val isRolledBack = current.isTransaction && sent.text != "COMMIT"
        current.commitCounts = when {
            isRolledBack || code?.isNotRun == true -> 0..0
            code == null -> 1..1
            else -> 0..1
        }
        operation = null
        nextOperation()
    }

    private fun later(action: () -> Unit) {
        fixture.timers.after(random.nextInt(pauseMillis.first, pauseMillis.last).toLong()) { if (!isOver) action() }
    }

    override fun setReading(isReading: Boolean) = Unit

    override fun close() {
        outstanding?.let { findings += "the connection was closed before ${it.id} (${it.text}) had an answer" }
        isOver = true
        fixture.timers.after(1) { fixture.hosts[host].closeSession(session) }
    }

    private companion object {
        const val MAX_STATEMENTS = 6
    }
}
