package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TransactionState
import kotlin.random.Random

/**
 * A caller that runs statements and transactions one after another, with pauses of [pauseMillis] in between. It sends some
 * statements without waiting for the answers to those before.
 */
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
    private val awaiting = ArrayDeque<SentStatement>()
    private var isOver = false
    private var isNextDue = false
    val operations = ArrayList<ScheduledOperation>()
    val statements = ArrayList<SentStatement>()

    /** What was wrong with the answers. */
    val findings = ArrayList<String>()

    /** When the oldest statement without an answer was sent, or the one before it was answered. */
    var waitsSinceMillis = 0L
        private set

    /** The statements that have no answer yet. */
    val outstanding: List<SentStatement> get() = awaiting.filter { !it.isLeft }

    override fun opened() = nextOperation()

    override fun refuse(error: StatementError) {
        isOver = true
    }

    /** Ends the connection, possibly within an operation. */
    fun leave() {
        if (isOver) return
        isOver = true
        awaiting.forEach { it.isLeft = true }
        fixture.hosts[host].closeSession(session)
    }

    /** The host's process has ended. */
    fun onHostEnded() {
        isOver = true
    }

    /** Starts the next operation after a pause. An answer that comes while a statement is sent must not start two. */
    private fun nextOperation() {
        if (isNextDue) return
        isNextDue = true
        later {
            isNextDue = false
            if (awaiting.isEmpty()) startNext()
        }
    }

    private fun startNext() {
        if (random.nextInt(3) > 0) {
            start(transaction("$name-${operations.size}"))
        } else {
            repeat(1 + random.nextInt(MAX_PIPELINED)) { start(listOf(statement("$name-${operations.size}-0"))) }
        }
    }

    private fun start(steps: List<Statement>) {
        if (isOver) return
        val next = ScheduledOperation(steps)
        operations += next
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
        val sent = SentStatement("$name.${statements.size}", text, fixture.timers.nowMillis(), current)
        statements += sent
        awaiting += sent
        if (awaiting.size == 1) waitsSinceMillis = sent.sentAtMillis
        val mayCommit = statement is Statement.Commit || !current.isTransaction
        current.commitCounts = if (mayCommit) 0..1 else 0..0
        session.onStatement(sent.id, statement)
    }

    override fun answer(answer: CallerAnswer) {
        val sent = awaiting.removeFirstOrNull()
        if (sent == null || sent.id != answer.id) {
            findings += "$name got an answer to ${answer.id}, but waits for ${sent?.id}"
            return
        }
        sent.answer = answer
        waitsSinceMillis = fixture.timers.nowMillis()
        sent.answeredAtMillis = waitsSinceMillis
        val current = sent.operation
        val error = answer.error
        when {
            answer.state == TransactionState.IDLE -> onEnded(current, sent, answer)
            isAtEnd(sent) -> findings += "${sent.id} (${sent.text}) ended a transaction, which is ${answer.state} still"
            error != null -> later { endFailed(current, answer.state) }
            else -> later { sendNext(current) }
        }
    }

    private fun isAtEnd(sent: SentStatement) = sent.text == "COMMIT" || sent.text == "ROLLBACK"

    /** A commit ends a failed transaction like a rollback. */
    private fun endFailed(current: ScheduledOperation, state: TransactionState) {
        val maySendCommit = state == TransactionState.FAILED && random.nextBoolean()
        send(current, if (maySendCommit) Statement.Commit else Statement.Rollback)
    }

    private fun onEnded(current: ScheduledOperation, sent: SentStatement, answer: CallerAnswer) {
        val code = answer.error?.code
        val isRolledBack = current.isTransaction && sent.text != "COMMIT"
        current.commitCounts = when {
            isRolledBack || code?.isNotRun == true -> 0..0
            code == null -> 1..1
            else -> 0..1
        }
        if (awaiting.isEmpty()) nextOperation()
    }

    private fun later(action: () -> Unit) {
        fixture.timers.after(random.nextInt(pauseMillis.first, pauseMillis.last).toLong()) { if (!isOver) action() }
    }

    override fun setReading(isReading: Boolean) = Unit

    override fun close() {
        outstanding.forEach { findings += "the connection was closed before ${it.id} (${it.text}) had an answer" }
        isOver = true
        fixture.timers.after(1) { fixture.hosts[host].closeSession(session) }
    }

    private companion object {
        const val MAX_STATEMENTS = 6
        const val MAX_PIPELINED = 4
    }
}
