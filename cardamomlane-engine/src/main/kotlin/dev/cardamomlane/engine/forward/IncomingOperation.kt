package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.session.CallerLink
import dev.cardamomlane.engine.session.CallerSession
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.PreparedPlan
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TransactionState

/**
 * One operation that another host forwarded: a statement, or a transaction whose steps arrive one after another.
 *
 * It waits for a configuration that is at least as new as the one the other host has used, so that the caller is never
 * served by an older configuration after a newer one.
 *
 * @param first the message with the first step, which tells of the session that the operation is from
 */
internal class IncomingOperation(
    private val number: Long,
    private val start: OperationStart,
    private val first: HostMessage,
    private val link: HostLink,
    private val timers: TimerService,
    private val sessions: ForwardedSessions,
    private val onEnded: (Long) -> Unit,
) : CallerLink {
    /** When the first step arrived. */
    val startedAtMillis = timers.nowMillis()
    private var session: CallerSession? = null
    private var waitingStep: OperationRequest? = null
    private var isBeginning = false
    private var isEnded = false

    /** Runs the step, once the previous one has been answered. */
    fun onStep(request: OperationRequest) {
        val open = session
        if (open == null || isBeginning) {
            waitingStep = request
            if (open == null) open()
        } else {
            run(open, request)
        }
    }

    private fun open() {
        if (isEnded) return
        if (start.configurationVersion > sessions.configurationVersion) {
            if (timers.nowMillis() - startedAtMillis >= MAX_CONFIGURATION_WAIT_MILLIS) {
                return end(ErrorCode.UNAVAILABLE, "the serving host lacks the newest configuration, not run")
            }
            timers.after(CONFIGURATION_POLL_MILLIS) { open() }
            return
        }
        val opened = sessions.open(this, start.database, start.key)
            ?: return end(ErrorCode.UNAVAILABLE, "the serving host takes no operations, not run")
        session = opened
        opened.adopt(waitingStep?.values ?: emptyMap())
        opened.adopt(first.commits.ifEmpty { listOfNotNull(sessions.lastCommit(start)) })
        if (start.transaction != TransactionKind.NONE) {
            isBeginning = true
            opened.onStatement(waitingStep?.id ?: "-", Statement.Begin(start.transaction == TransactionKind.READ_ONLY))
        } else {
            runWaiting()
        }
    }

    private fun runWaiting() {
        val step = waitingStep ?: return
        waitingStep = null
        session?.let { run(it, step) }
    }

    private fun run(open: CallerSession, request: OperationRequest) {
        request.values?.let { open.adopt(it) }
        open.onStatement(request.id, statement(request))
    }

    private fun statement(request: OperationRequest): Statement {
        if (request.kind == StepKind.COMMIT) return Statement.Commit
        val access = if (request.kind == StepKind.READ) Access.READ else Access.WRITE
        val shape = request.shape ?: return Statement.Run(access, request.text)
        return Statement.ExecutePlan(PreparedPlan(access, shape), request.text)
    }

    /** Ends the operation without an answer: a transaction is rolled back, a statement in the queue is dropped. */
    fun abandon() {
        isEnded = true
        session?.let { sessions.close(it) }
    }

    /** See [CallerSession.endOperation]. */
    fun endOperation(error: StatementError) {
        session?.endOperation(error)
    }

    /** See [CallerSession.endIfKeyWithdrawn]. */
    fun endIfKeyWithdrawn(): Boolean = session?.endIfKeyWithdrawn() ?: false

    /** See [CallerSession.giveUp]. */
    fun giveUp(reason: String) {
        session?.giveUp(reason)
    }

    override fun answer(answer: CallerAnswer) {
        if (isEnded) return
        if (isBeginning) {
            isBeginning = false
            val error = answer.error ?: return runWaiting()
            return end(error.code, error.text)
        }
        send(answer)
        if (answer.state == TransactionState.IDLE) end()
    }

    private fun send(answer: CallerAnswer) {
        val message = OperationAnswer(
            operation = number,
            rows = answer.rows,
            digest = answer.digest,
            error = answer.error?.code,
            errorText = answer.error?.text ?: "",
            state = answer.state,
            position = answer.position,
            configurationVersion = sessions.configurationVersion,
        )
        val committedTo = answer.committed?.log?.takeIf { mayDiffer() }
        val last = HostMessage(hint = sessions.hint(start), committedTo = committedTo)
        val parts = AnswerPart.of(message)
        if (parts.isEmpty()) return link.send(last.copy(answer = message))
        for (part in parts) link.send(if (part.answer != null) last.copy(part = part) else HostMessage(part = part))
    }

    /** True when the other host may go by another configuration than this one, and so expect another group. */
    private fun mayDiffer(): Boolean = first.namesGroup || sessions.configurationVersion != start.configurationVersion

    private fun end(code: ErrorCode, text: String) {
        if (isEnded) return
        send(CallerAnswer(id = "-", error = StatementError(code, text), state = TransactionState.FAILED))
        end()
    }

    private fun end() {
        if (isEnded) return
        isEnded = true
        session?.let { sessions.close(it) }
        onEnded(number)
    }

    override fun opened() = Unit

    override fun refuse(error: StatementError) = end(error.code, error.text)

    override fun setReading(isReading: Boolean) = Unit

    override fun close() = end()

    companion object {
        /** How long an operation waits for the configuration that the other host has used. */
        private const val MAX_CONFIGURATION_WAIT_MILLIS = 600L
        private const val CONFIGURATION_POLL_MILLIS = 20L

        /** Answers a step of an operation that this host does not know any more, whose transaction is rolled back. */
        fun answerAborted(link: HostLink, request: OperationRequest, configurationVersion: Long) {
            val answer = OperationAnswer(
                operation = request.operation,
                rows = emptyList(),
                digest = null,
                error = ErrorCode.ABORTED,
                errorText = "the transaction is not open any more",
                state = TransactionState.FAILED,
                position = null,
                configurationVersion = configurationVersion,
            )
            link.send(HostMessage(answer = answer))
        }
    }
}
