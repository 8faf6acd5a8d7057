package dev.cardamomlane.engine.session

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.core.capacity.WorkKind
import dev.cardamomlane.core.session.SessionPositions
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.InFlightWrite
import dev.cardamomlane.engine.group.Work
import dev.cardamomlane.engine.group.WorkRunner
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.statement.TransactionState
import dev.cardamomlane.engine.target.ConnectionNeed
import dev.cardamomlane.engine.target.PooledConnection
import dev.cardamomlane.engine.target.StatementEnd
import dev.cardamomlane.engine.target.Target

/**
 * Runs one transaction of a caller. Its first statement takes a connection, which the transaction owns until it ends.
 *
 * A transaction whose commit was not sent has no effect, whatever happens to its connection. So a failure before the
 * commit aborts it, while a lost answer to the commit of writes leaves the outcome unknown.
 */
internal class TransactionExecution(
    private val services: SessionServices,
    private val group: DatabaseGroup,
    override val route: Route,
    val isReadOnly: Boolean,
    override val customerName: String,
    private val positions: SessionPositions,
    private val startedAtMillis: Long,
) : OpenTransaction,
    WorkRunner,
    InFlightWrite {
    private var pinned: PooledConnection? = null
    private var pinnedTarget: Target? = null

    /** The connection on which the transaction is being begun, or null before and after that. */
    private var starting: PooledConnection? = null
    private var queued: Work? = null
    private var currentStep: Step? = null
    private var timer: TimerSubscription? = null
    private var hasWritten = false
    private var isCommitSent = false

    override val target: Target get() = pinnedTarget!!

    override var isFailed = false
        private set

    /** True once nothing more is sent for the transaction. */
    private var isFinished = false

    override fun run(statement: ResolvedStatement, state: SessionState, done: (Outcome) -> Unit) {
        begin(Step(statement.id, statement, state, done))
    }

    override fun commit(id: String, state: SessionState, done: (Outcome) -> Unit) {
        begin(Step(id, null, state, done))
    }

    /** Closes the connection instead if a statement on it has no answer yet. */
    override fun rollback() {
        isFinished = true
        group.writes.ended(this)
        queued?.end()
        timer?.cancel()
        starting?.close()
        val connection = pinned ?: return
        pinned = null
        if (currentStep != null || connection.oldestSentMillis != null) return connection.close()
        connection.rollback(limitMillis = route.timeoutMillis)
    }

    private fun begin(step: Step) {
        currentStep = step
        timer = services.timers.after(route.timeoutMillis) { onTimeout() }
        val connection = pinned
        if (connection != null) return prepareAndSend(connection, step)
        val work = Work(
            id = step.id,
            route = route,
            customerName = customerName,
            state = step.state,
            needsPrimary = !isReadOnly,
            positions = positions,
            arrivedAtMillis = startedAtMillis,
            queuedAtMillis = services.timers.nowMillis(),
            runner = this,
        )
        queued = work
        group.submit(work)
    }

    override fun run(work: Work, target: Target, connection: PooledConnection, after: LogPosition?) {
        val step = currentStep
        if (isFinished || step == null) return connection.release()
        target.started(BEGIN)
        starting = connection
        connection.prepareFor(work.state) { isPrepared ->
            when {
                isFinished || !isPrepared -> onStartFailed(target, connection, work)
                else -> sendBegin(work, target, connection, after, step)
            }
        }
    }

    private fun sendBegin(work: Work, target: Target, connection: PooledConnection, after: LogPosition?, step: Step) {
        val isPrimaryLost = after == null && !group.isPrimaryUsable()
        if (isPrimaryLost || !group.mayStart(target)) {
            target.finished(BEGIN, StatementEnd.Unmeasured)
            starting = null
            connection.release()
            return group.resubmit(work)
        }
        connection.execute(TargetStatement.Begin(isReadOnly, after)) { answer ->
            starting = null
            target.finished(BEGIN, endOf(answer, tookMillis = null))
            when {
                answer == null -> onStartFailed(target, connection, work, isCounted = false)
                !answer.isSuccess -> onBeginRefused(work, target, connection, answer, after)
                isFinished -> connection.rollback(limitMillis = route.timeoutMillis)
                connection.isBeginDoubtful -> beginAnew(work, target, connection)
                else -> {
                    work.end()
                    queued = null
                    pinned = connection
                    pinnedTarget = target
                    if (!isReadOnly) group.writes.opened(this)
                    send(connection, step)
                }
            }
        }
    }

    /** How a statement with [answer] ended; [tookMillis] is null for one whose time is not measured. */
    private fun endOf(answer: TargetAnswer?, tookMillis: Double?): StatementEnd = when {
        answer == null -> if (isFinished) StatementEnd.Unmeasured else StatementEnd.Lost
        answer.error?.code == ErrorCode.BUSY && tookMillis == null -> StatementEnd.Refused
        tookMillis == null -> StatementEnd.Unmeasured
        else -> StatementEnd.Answered(tookMillis, isSuccess = answer.error?.code !in TARGET_FAILURES)
    }

    private fun onStartFailed(target: Target, connection: PooledConnection, work: Work, isCounted: Boolean = true) {
        starting = null
        if (isCounted) target.finished(BEGIN, endOf(answer = null, tookMillis = null))
        if (connection.ambiguousError != null) {
            work.avoid(target, services.timers.nowMillis() + BEGIN_REFUSED_AVOID_MILLIS)
        }
        connection.close()
        if (!isFinished) group.resubmit(work)
    }

    /** Begins on another connection: on this one a statement might run outside of a transaction. */
    private fun beginAnew(work: Work, target: Target, connection: PooledConnection) {
        services.log.request(work.id, "begin_doubtful", "target", target.entry.id.value)
        connection.close()
        work.connectionNeed = ConnectionNeed.NO_TRANSACTION
        group.resubmit(work)
    }

    private fun onBeginRefused(
        work: Work,
        target: Target,
        connection: PooledConnection,
        answer: TargetAnswer,
        after: LogPosition?,
    ) {
        connection.releaseOrClose(answer)
        services.log.request(
            work.id,
            "begin_denied",
            "target",
            target.entry.id.value,
            "code",
            answer.error?.code,
            "after",
            after ?: "-",
        )
        work.avoid(target, services.timers.nowMillis() + BEGIN_REFUSED_AVOID_MILLIS)
        if (!isFinished) group.resubmit(work)
    }

    private fun prepareAndSend(connection: PooledConnection, step: Step) {
        if (!group.mayContinue(target)) return abort(DRAINED_REASON)
        connection.prepareFor(step.state) { isPrepared ->
            if (isPrepared) send(connection, step) else onConnectionLost()
        }
    }

    private fun send(connection: PooledConnection, step: Step) {
        if (isFinished || currentStep !== step) return
        val target = pinnedTarget!!
        if (!group.mayContinue(target)) return abort(DRAINED_REASON)
        val containsWrite = !isReadOnly && (hasWritten || step.statement?.access == Access.WRITE)
        if (containsWrite && !group.writes.mayCommit(target)) return abort("the primary is being replaced")
        step.isSent = true
        val sentAtMillis = services.timers.nowMillis()
        val statement = step.statement
        val kind = when {
            statement == null -> if (hasWritten) COMMIT else COMMIT_WITHOUT_WRITES
            else -> WorkKind(route.name, isWrite = statement.access == Access.WRITE)
        }
        target.started(kind)
        if (statement == null) {
            isCommitSent = true
            if (hasWritten) group.writes.sent(this)
        } else if (statement.access == Access.WRITE) {
            hasWritten = true
        }
        val sent = statement?.toTarget(connection, after = null) ?: TargetStatement.Commit(step.id)
        connection.execute(sent) { answer ->
            target.finished(kind, endOf(answer, tookMillis = (services.timers.nowMillis() - sentAtMillis).toDouble()))
            if (statement == null) group.writes.resolved(this)
            onAnswer(step, answer)
        }
    }

    private fun onAnswer(step: Step, answer: TargetAnswer?) {
        if (currentStep !== step) return
        if (answer == null) return onConnectionLost()
        if (step.statement == null) return onCommitted(answer)
        if (answer.error?.code == ErrorCode.UNKNOWN_STATEMENT) return abort("the target has lost a prepared statement")
        if (answer.state != TransactionState.OPEN) isFailed = true
        deliver(Outcome.of(answer))
    }

    private fun onCommitted(answer: TargetAnswer) {
        val connection = pinned
        pinned = null
        isFinished = true
        group.writes.ended(this)
        connection?.releaseOrClose(answer)
        if (hasWritten && answer.isSuccess) {
            Acknowledgement(services, group, target, answer, ::deliver).start()
        } else {
            deliver(Outcome.of(answer))
        }
    }

    override fun abandon() {
        group.writes.resolved(this)
        onConnectionLost()
    }

    private fun onConnectionLost() {
        if (currentStep == null) return
        if (isCommitSent && hasWritten) {
            end()
            deliver(Outcome.error(ErrorCode.OUTCOME_UNKNOWN, "the answer to the commit was lost"))
        } else {
            abort("the connection to the target was lost")
        }
    }

    private fun abort(reason: String) {
        val step = takeStep()
        end()
        step?.done?.invoke(Outcome.error(ErrorCode.ABORTED, reason))
    }

    private fun end() {
        isFailed = true
        isFinished = true
        group.writes.ended(this)
        pinned?.close()
        pinned = null
    }

    override fun refuse(work: Work, code: ErrorCode, reason: String) {
        queued = null
        isFailed = true
        isFinished = true
        deliver(Outcome.error(code, reason))
    }

    private fun onTimeout() {
        if (currentStep == null) return
        if (isCommitSent || queued == null || pinned != null) return giveUp("no answer in time")
        drop()
        end()
        deliver(Outcome.error(ErrorCode.BUSY, "no target was free in time"))
    }

    override fun endUnsent(reason: String) {
        if (currentStep?.isSent == false) giveUp(reason)
    }

    override fun giveUp(reason: String) {
        if (currentStep == null) return
        drop()
        if (isCommitSent) onConnectionLost() else abort(reason)
    }

    /** Takes the transaction out of the queue, and ends its begin. */
    private fun drop() {
        queued?.end()
        starting?.close()
        group.writes.resolved(this)
    }

    private fun deliver(outcome: Outcome) {
        takeStep()?.done?.invoke(outcome)
    }

    private fun takeStep(): Step? {
        timer?.cancel()
        return currentStep.also { currentStep = null }
    }

    /** A statement, or the commit when [statement] is null, that waits for its outcome. */
    private class Step(
        val id: String,
        val statement: ResolvedStatement?,
        val state: SessionState,
        val done: (Outcome) -> Unit,
    ) {
        /** True once a target may have got it. */
        var isSent = false
    }

    private companion object {
        const val DRAINED_REASON = "the target's zone is drained, or this host has lost contact with the others"

        /** How long a target is left out after it refused to begin the transaction. */
        const val BEGIN_REFUSED_AVOID_MILLIS = 30L

        /** The kinds of the statements that belong to no route. The commit of a transaction without writes is quick. */
        val BEGIN = WorkKind("BEGIN", isWrite = false)
        val COMMIT = WorkKind("COMMIT", isWrite = true)
        val COMMIT_WITHOUT_WRITES = WorkKind("COMMIT", isWrite = false)

        /** Errors that the target may have caused. */
        val TARGET_FAILURES = setOf(ErrorCode.FAILED, ErrorCode.BUSY)
    }
}
