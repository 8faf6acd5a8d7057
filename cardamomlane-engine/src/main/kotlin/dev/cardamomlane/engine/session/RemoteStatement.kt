package dev.cardamomlane.engine.session

import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.engine.forward.HostConnection
import dev.cardamomlane.engine.forward.OperationAnswer
import dev.cardamomlane.engine.forward.OperationListener
import dev.cardamomlane.engine.forward.OperationRequest
import dev.cardamomlane.engine.forward.StepKind
import dev.cardamomlane.engine.forward.TransactionKind
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode

/**
 * Runs one statement outside a transaction on another host.
 *
 * It is sent to a further member when the first one answers that it can't serve, when it did not reach it, or when it
 * is a read whose answer was lost. When the answer to a write was lost, its outcome is unknown.
 */
internal class RemoteStatement(
    private val call: RemoteCall,
    private val statement: ResolvedStatement,
    private val state: SessionState,
    private val done: (Outcome) -> Unit,
) : RunningStatement,
    OperationListener {
    private val timers = call.services.timers
    private var connection: HostConnection? = null
    private var operation = 0L
    private var isFinished = false
    private var mayHaveRun = false
    private var timer: TimerSubscription? = null

    /** Sends the statement. Calls `done` once, soon after the route's timeout at the latest, unless cancelled before. */
    fun start() {
        timer = timers.after(call.route.timeoutMillis + ANSWER_MARGIN_MILLIS) { onTimeout() }
        sendToNext()
    }

    override fun cancel() {
        finish(null)
    }

    private fun sendToNext() {
        val next = call.nextConnection() ?: return finish(unserved())
        connection = next
        operation = next.start(this)
        next.send(
            OperationRequest(
                operation = operation,
                start = call.start(TransactionKind.NONE),
                kind = if (statement.access == Access.READ) StepKind.READ else StepKind.WRITE,
                id = statement.id,
                text = statement.text,
                shape = statement.plan?.shape,
                values = state.values,
            ),
        )
    }

    override fun onAnswer(answer: OperationAnswer) {
        val from = connection ?: return
        from.finish(operation)
        call.forwarder.decidedBy(from, answer.configurationVersion)
        if (answer.error == ErrorCode.UNAVAILABLE) sendToNext() else finish(RemoteCall.outcome(answer))
    }

    override fun onLost(mayHaveArrived: Boolean) {
        mayHaveRun = mayHaveRun || mayHaveArrived
        if (statement.access == Access.WRITE && mayHaveArrived) return finish(unserved())
        sendToNext()
    }

    private fun onTimeout() {
        mayHaveRun = true
        finish(unserved())
    }

    private fun unserved(): Outcome = when {
        !mayHaveRun -> Outcome.error(ErrorCode.UNAVAILABLE, "no host can serve, not run")
        statement.access == Access.WRITE -> Outcome.error(
            ErrorCode.OUTCOME_UNKNOWN,
            "the serving host's answer was lost",
        )
        else -> Outcome.error(ErrorCode.TIMEOUT, "no answer in time")
    }

    private fun finish(outcome: Outcome?) {
        if (isFinished) return
        isFinished = true
        timer?.cancel()
        if (outcome == null || mayHaveRun) drop()
        if (outcome != null) done(outcome)
    }

    /** Tells the member that the answer is not wanted any more. */
    private fun drop() {
        val request = OperationRequest(operation, null, StepKind.ROLLBACK, statement.id, "", null, null)
        connection?.finish(operation, request)
    }

    private companion object {
        /** How much longer than the route's timeout an answer is waited for, since the serving host keeps the timeout. */
        const val ANSWER_MARGIN_MILLIS = 60L
    }
}
