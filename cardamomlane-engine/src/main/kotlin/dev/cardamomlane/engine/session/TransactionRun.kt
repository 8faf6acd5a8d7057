package dev.cardamomlane.engine.session

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.OpenWrite
import dev.cardamomlane.engine.group.Work
import dev.cardamomlane.engine.group.WorkRunner
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.statement.TransactionState
import dev.cardamomlane.engine.target.PooledConnection
import dev.cardamomlane.engine.target.Target

/**
 * One transaction of a caller. It takes a connection with its first statement and keeps it to its end.
 *
 * A transaction whose commit was not sent leaves nothing behind, whatever happens to its connection.
 */
internal class TransactionRun(
    private val services: SessionServices,
    private val group: DatabaseGroup,
    val route: Route,
    val isReadOnly: Boolean,
    private val customerName: String,
    private val ownPosition: LogPosition?,
    private val startedAtMillis: Long,
) : WorkRunner,
    OpenWrite {
    private var pinned: PooledConnection? = null
    private var pinnedTarget: Target? = null
    private var queued: Work? = null
    private var next: Step? = null
    private var timer: TimerSubscription? = null
    private var hasWritten = false
    private var isCommitSent = false

    override val target: Target get() = pinnedTarget!!

    /** True once the transaction can only be ended. */
    var isFailed = false
        private set

    /** True once nothing more is to be sent. */
    private var isOver = false

    /** Runs [statement]; [done] hears its outcome once. */
    fun run(statement: StatementRun, state: SessionState, done: (Outcome) -> Unit) {
        begin(Step(statement.id, statement, state, done))
    }

    /** Commits; [done] hears the outcome once and the transaction is over. */
    fun commit(id: String, state: SessionState, done: (Outcome) -> Unit) {
        begin(Step(id, null, state, done))
    }

    /** Rolls back without waiting. */
    fun rollback() {
        isOver = true
        group.ended(this)
        queued?.end()
        timer?.cancel()
        val connection = pinned ?: return
        pinned = null
        if (next != null || connection.oldestSentMillis != null) return connection.close()
        rollback(connection)
    }

    private fun begin(step: Step) {
        next = step
        timer = services.timers.after(route.timeoutMillis) { onTimeout() }
        val connection = pinned
        if (connection != null) return adoptAndSend(connection, step)
        val work = Work(
            id = step.id,
            route = route,
            customerName = customerName,
            state = step.state,
            needsPrimary = !isReadOnly,
            ownPosition = ownPosition,
            arrivedAtMillis = startedAtMillis,
            queuedAtMillis = services.timers.nowMillis(),
            runner = this,
        )
        queued = work
        group.submit(work)
    }

    override fun run(work: Work, target: Target, connection: PooledConnection, after: LogPosition?) {
        val step = next
        if (isOver || step == null) return connection.release()
        target.started()
        connection.adopt(work.state) { isGood ->
            when {
                isOver || !isGood -> startFailed(target, connection, work)
                else -> sendBegin(work, target, connection, after, step)
            }
        }
    }

    private fun sendBegin(work: Work, target: Target, connection: PooledConnection, after: LogPosition?, step: Step) {
        if (after == null && !group.isPrimaryUsable()) {
            target.finished(null)
            connection.release()
            return group.resubmit(work)
        }
        connection.execute(TargetStatement.Begin(isReadOnly, after)) { answer ->
            target.finished(null)
            when {
                answer == null -> startFailed(target, connection, work, isCounted = false)
                !answer.isSuccess -> onBeginDenied(work, target, connection, answer)
                isOver -> rollback(connection)
                else -> {
                    work.end()
                    queued = null
                    pinned = connection
                    pinnedTarget = target
                    if (!isReadOnly) group.opened(this)
                    send(connection, step)
                }
            }
        }
    }

    private fun rollback(connection: PooledConnection) {
        connection.execute(TargetStatement.Rollback) { answer -> connection.giveBack(answer) }
    }

    private fun startFailed(target: Target, connection: PooledConnection, work: Work, isCounted: Boolean = true) {
        if (isCounted) target.finished(null)
        connection.close()
        if (!isOver) group.resubmit(work)
    }

    private fun onBeginDenied(work: Work, target: Target, connection: PooledConnection, answer: TargetAnswer) {
        connection.giveBack(answer)
        services.log.request(work.id, "begin_denied", "target", target.entry.id.value, "code", answer.error?.code)
        work.avoid(target, services.timers.nowMillis() + DENIED_PAUSE_MILLIS)
        if (!isOver) group.resubmit(work)
    }

    private fun adoptAndSend(connection: PooledConnection, step: Step) {
        connection.adopt(step.state) { isGood -> if (isGood) send(connection, step) else lost() }
    }

    private fun send(connection: PooledConnection, step: Step) {
        if (isOver || next !== step) return
        val target = pinnedTarget!!
        val mayWrite = !isReadOnly && (hasWritten || step.statement?.access == Access.WRITE)
        if (mayWrite && !group.mayCommit(target)) return abort("the primary is being replaced")
        val sentAtMillis = services.timers.nowMillis()
        target.started()
        val statement = step.statement
        if (statement == null) {
            isCommitSent = true
            if (hasWritten) group.sent(this)
        } else if (statement.access == Access.WRITE) {
            hasWritten = true
        }
        connection.execute(statement?.toTarget(after = null) ?: TargetStatement.Commit(step.id)) { answer ->
            target.finished(answer?.let { (services.timers.nowMillis() - sentAtMillis).toDouble() })
            if (statement == null) group.settled(this)
            onAnswer(step, answer)
        }
    }

    private fun onAnswer(step: Step, answer: TargetAnswer?) {
        if (next !== step) return
        if (answer == null) return lost()
        if (step.statement == null) return onCommitted(answer)
        if (answer.state != TransactionState.OPEN) isFailed = true
        deliver(Outcome.of(answer))
    }

    private fun onCommitted(answer: TargetAnswer) {
        val connection = pinned
        pinned = null
        isOver = true
        group.ended(this)
        connection?.giveBack(answer)
        if (hasWritten && answer.isSuccess) {
            Acknowledgement(services, group, target, answer, ::deliver).start()
        } else {
            deliver(Outcome.of(answer))
        }
    }

    override fun abandon() {
        group.settled(this)
        lost()
    }

    private fun lost() {
        if (next == null) return
        if (isCommitSent && hasWritten) {
            end()
            deliver(Outcome.error(ErrorCode.OUTCOME_UNKNOWN, "the answer to the commit was lost"))
        } else {
            abort("the connection to the target was lost")
        }
    }

    private fun abort(reason: String) {
        end()
        deliver(Outcome.error(ErrorCode.ABORTED, reason))
    }

    private fun end() {
        isFailed = true
        isOver = true
        group.ended(this)
        pinned?.close()
        pinned = null
    }

    override fun refuse(work: Work, code: ErrorCode, reason: String) {
        queued = null
        isFailed = true
        isOver = true
        deliver(Outcome.error(code, reason))
    }

    private fun onTimeout() {
        if (next == null) return
        queued?.end()
        group.settled(this)
        when {
            isCommitSent -> lost()
            queued != null && pinned == null -> {
                end()
                deliver(Outcome.error(ErrorCode.BUSY, "no target was free in time"))
            }
            else -> abort("no answer in time")
        }
    }

    private fun deliver(outcome: Outcome) {
        val step = next ?: return
        next = null
        timer?.cancel()
        step.done(outcome)
    }

    private class Step(
        val id: String,
        val statement: StatementRun?,
        val state: SessionState,
        val done: (Outcome) -> Unit,
    )

    private companion object {
        const val DENIED_PAUSE_MILLIS = 30L
    }
}
