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
import dev.cardamomlane.engine.statement.TransactionState

/**
 * Runs one transaction of a caller on another host, which is chosen with the first statement and stays the same.
 *
 * When the connection to that host is lost, the transaction has no effect unless its commit was sent; then the outcome
 * is unknown, if it has written.
 */
internal class RemoteTransaction(private val call: RemoteCall, private val isReadOnly: Boolean) :
    OpenTransaction,
    OperationListener {
    override val route: Route get() = call.route

    override val customerName: String get() = call.customerName

    override var isFailed = false
        private set

    private val timers = call.services.timers
    private var connection: HostConnection? = null
    private var operation = 0L
    private var current: Step? = null
    private var hasStarted = false
    private var hasWritten = false
    private var isOver = false
    private var sentValues: Map<String, String>? = null
    private var timer: TimerSubscription? = null
    private var endReason: String? = null

    override fun run(statement: ResolvedStatement, state: SessionState, done: (Outcome) -> Unit) {
        val kind = if (statement.access == Access.READ) StepKind.READ else StepKind.WRITE
        begin(Step(kind, statement.id, statement.text, statement.plan?.shape, state.values, done))
    }

    override fun commit(id: String, state: SessionState, done: (Outcome) -> Unit) {
        begin(Step(StepKind.COMMIT, id, "", null, state.values, done))
    }

    override fun rollback() {
        if (isOver) return
        isOver = true
        timer?.cancel()
        current = null
        connection?.finish(operation, rollbackRequest())
    }

    private fun rollbackRequest() = OperationRequest(operation, null, StepKind.ROLLBACK, "-", "", null, null)

    private fun begin(step: Step) {
        current = step
        if (isOver) return deliver(Outcome.error(ErrorCode.ABORTED, "the connection to the serving host was lost"))
        timer = timers.after(route.timeoutMillis + RemoteCall.ANSWER_MARGIN_MILLIS) { fail(step, "no answer in time") }
        if (hasStarted) send(step, isFirst = false) else sendToNext(step)
    }

    private fun sendToNext(step: Step) {
        endReason?.let { return fail(step, it) }
        val next = call.nextConnection() ?: return deliverUnavailable()
        connection = next
        operation = next.start(this)
        send(step, isFirst = true)
    }

    private fun send(step: Step, isFirst: Boolean) {
        if (step.kind == StepKind.WRITE) hasWritten = true
        val start = if (!isFirst) {
            null
        } else {
            call.start(if (isReadOnly) TransactionKind.READ_ONLY else TransactionKind.READ_WRITE)
        }
        val values = step.values.takeIf { isFirst || it != sentValues }
        sentValues = step.values
        val request = OperationRequest(operation, start, step.kind, step.id, step.text, step.shape, values)
        val serving = connection ?: return
        if (isFirst) call.sendFirst(serving, request) else serving.send(request)
    }

    override fun onHint(hint: SendHint?) = call.onHint(hint)

    override fun onAnswer(answer: OperationAnswer, committedTo: DatabaseId?) {
        val step = current ?: return
        connection?.let { call.forwarder.decidedBy(it, answer.configurationVersion) }
        if (!hasStarted && answer.error == ErrorCode.UNAVAILABLE) {
            connection?.finish(operation, rollbackRequest())
            return sendToNext(step)
        }
        hasStarted = true
        if (step.kind == StepKind.COMMIT) {
            end()
        } else if (answer.state != TransactionState.OPEN) {
            isFailed = true
        }
        deliver(call.outcome(answer, committedTo, acknowledgesWrites = step.kind == StepKind.COMMIT && hasWritten))
    }

    override fun onSilent() = Unit

    override fun onLost(mayHaveArrived: Boolean) {
        val step = current
        if (step != null && !hasStarted && !mayHaveArrived) return sendToNext(step)
        isOver = true
        isFailed = true
        if (step != null) deliver(lost(step, "the connection to the serving host was lost"))
    }

    override fun endUnsent(reason: String) {
        endReason = reason
    }

    override fun giveUp(reason: String) {
        current?.let { fail(it, reason) }
    }

    private fun fail(step: Step, reason: String) {
        if (current !== step) return
        val outcome = lost(step, reason)
        rollback()
        current = step
        isFailed = true
        deliver(outcome)
    }

    private fun lost(step: Step, reason: String): Outcome = if (step.kind == StepKind.COMMIT && hasWritten) {
        Outcome.error(ErrorCode.OUTCOME_UNKNOWN, reason)
    } else {
        Outcome.error(ErrorCode.ABORTED, reason)
    }

    private fun deliverUnavailable() {
        isOver = true
        isFailed = true
        deliver(Outcome.error(ErrorCode.UNAVAILABLE, "no host can serve, not run"))
    }

    private fun end() {
        isOver = true
        connection?.finish(operation)
    }

    private fun deliver(outcome: Outcome) {
        val step = current ?: return
        current = null
        timer?.cancel()
        step.done(outcome)
    }

    private class Step(
        val kind: StepKind,
        val id: String,
        val text: String,
        val shape: String?,
        val values: Map<String, String>,
        val done: (Outcome) -> Unit,
    )
}
