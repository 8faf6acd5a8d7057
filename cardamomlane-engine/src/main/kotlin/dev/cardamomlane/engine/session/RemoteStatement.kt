package dev.cardamomlane.engine.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.forward.HostConnection
import dev.cardamomlane.engine.forward.OperationAnswer
import dev.cardamomlane.engine.forward.OperationListener
import dev.cardamomlane.engine.forward.OperationRequest
import dev.cardamomlane.engine.forward.SendHint
import dev.cardamomlane.engine.forward.StepKind
import dev.cardamomlane.engine.forward.TransactionKind
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.StatementError

/**
 * Runs one statement outside a transaction on another host.
 *
 * It is sent to a further member when the first one answers that it can't serve or was not reached. A read is also sent
 * to a further member when its answer is lost or the member is silent, and the first answer counts. When the answer to a
 * write is lost, its outcome is unknown.
 */
internal class RemoteStatement(
    private val call: RemoteCall,
    private val statement: ResolvedStatement,
    private val state: SessionState,
    private val done: (Outcome) -> Unit,
) : RunningStatement {
    override val route: Route get() = call.route

    override val customerName: String get() = call.customerName
    private val timers = call.services.timers
    private val attempts = LinkedHashSet<Attempt>()
    private var isFinished = false
    private var mayHaveRun = false
    private var timer: TimerSubscription? = null
    private var refusal: StatementError? = null
    private val isRead = statement.access == Access.READ

    /** Sends the statement. Calls `done` once, soon after the route's timeout at the latest, unless cancelled before. */
    fun start() {
        timer = timers.after(call.route.timeoutMillis + RemoteCall.ANSWER_MARGIN_MILLIS) { onTimeout() }
        sendToNext()
    }

    override fun cancel() {
        finish(null)
    }

    override fun endUnsent(error: StatementError) {
        refusal = error
    }

    override fun giveUp(reason: String) = onTimeout()

    /** Sends the statement to the next member. Finishes when there is none and no attempt is under way. */
    private fun sendToNext() {
        val connection = if (refusal == null) call.nextConnection() else null
        if (connection != null) return Attempt(connection).also { attempts += it }.start()
        if (attempts.isEmpty()) finish(unserved())
    }

    private fun onTimeout() {
        mayHaveRun = true
        finish(unserved())
    }

    private fun unserved(): Outcome = when {
        !mayHaveRun -> refusal?.let { Outcome.error(it.code, it.text) }
            ?: Outcome.error(ErrorCode.UNAVAILABLE, "no host can serve, not run")
        isRead -> Outcome.error(ErrorCode.TIMEOUT, "no answer in time")
        else -> Outcome.error(ErrorCode.OUTCOME_UNKNOWN, "the serving host's answer was lost")
    }

    private fun finish(outcome: Outcome?) {
        if (isFinished) return
        isFinished = true
        timer?.cancel()
        attempts.forEach { it.drop() }
        if (outcome != null) done(outcome)
    }

    /** The statement at one member. */
    private inner class Attempt(private val connection: HostConnection) : OperationListener {
        private val operation = connection.start(this)

        fun start() {
            val request = OperationRequest(
                operation = operation,
                start = call.start(TransactionKind.NONE),
                kind = if (isRead) StepKind.READ else StepKind.WRITE,
                id = statement.id,
                text = statement.text,
                shape = statement.plan?.shape,
                values = state.values,
            )
            call.sendFirst(connection, request)
        }

        override fun onHint(hint: SendHint?) = call.onHint(hint)

        override fun onAnswer(answer: OperationAnswer, committedTo: DatabaseId?) {
            attempts -= this
            connection.finish(operation)
            call.forwarder.decidedBy(connection, answer.configurationVersion)
            if (answer.error == ErrorCode.UNAVAILABLE) return sendToNext()
            finish(call.outcome(answer, committedTo, acknowledgesWrites = !isRead))
        }

        override fun onSilent() {
            if (isRead) sendToNext()
        }

        override fun onLost(mayHaveArrived: Boolean) {
            attempts -= this
            mayHaveRun = mayHaveRun || mayHaveArrived
            if (!isRead && mayHaveArrived) finish(unserved()) else sendToNext()
        }

        /** Tells the member that the answer is not wanted any more. */
        fun drop() {
            connection.finish(
                operation,
                OperationRequest(operation, null, StepKind.ROLLBACK, statement.id, "", null, null),
            )
        }
    }
}
