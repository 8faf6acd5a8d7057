package dev.cardamomlane.engine.session

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.core.capacity.WorkKind
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.InFlightWrite
import dev.cardamomlane.engine.group.Work
import dev.cardamomlane.engine.group.WorkRunner
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.target.PooledConnection
import dev.cardamomlane.engine.target.StatementEnd
import dev.cardamomlane.engine.target.Target

/**
 * Runs one statement outside a transaction, on up to two targets at once.
 *
 * Reads are hedged: one that gets no answer for long is also run at a second target, and the first answer counts. A
 * read is retried whenever its answer is lost. A write is sent again only after a target answered that it did not run
 * it; when its answer is lost, the outcome is unknown.
 *
 * An attempt that has no answer when another one's counts may still get one, but holds its connection and its slot no
 * longer than the route's timeout from the start.
 */
internal class StatementExecution(
    private val services: SessionServices,
    private val group: DatabaseGroup,
    override val route: Route,
    override val customerName: String,
    private val statement: ResolvedStatement,
    private val done: (Outcome) -> Unit,
) : WorkRunner,
    RunningStatement {
    private val kind = WorkKind(route.name, isWrite = statement.access == Access.WRITE)
    private val attempts = ArrayList<Attempt>(1)
    private var work: Work? = null
    private var isFinished = false
    private var isHedged = false
    private var wasAnySent = false
    private var timer: TimerSubscription? = null

    /** Why the statement is sent to no further target, or null while it may be. */
    private var refusal: StatementError? = null
    private var isQueued = false

    /** Queues [work]. Calls `done` once, at the latest after the route's timeout, unless [cancel] ends it before. */
    fun start(work: Work) {
        this.work = work
        timer = services.timers.after(route.timeoutMillis) { giveUp("no answer in time") }
        isQueued = true
        group.submit(work)
    }

    /** Ends the execution without an outcome, as its caller has left, once no attempt is under way. */
    override fun cancel() {
        refusal = StatementError(ErrorCode.BUSY, "the caller has left")
        if (attempts.isEmpty()) finish(null)
    }

    override fun run(work: Work, target: Target, connection: PooledConnection, after: LogPosition?) {
        isQueued = false
        if (isFinished || refusal != null) return connection.release()
        Attempt(target, connection, after).also { attempts += it }.start()
    }

    override fun refuse(work: Work, code: ErrorCode, reason: String) {
        isQueued = false
        val error = StatementError(code, reason)
        refusal = error
        if (attempts.isEmpty()) finish(Outcome.error(error.code, error.text))
    }

    override fun endUnsent(error: StatementError) {
        refusal = error
        if (isQueued && attempts.isEmpty()) finish(Outcome.error(error.code, error.text))
    }

    private fun finish(outcome: Outcome?) {
        if (isFinished) return
        isFinished = true
        cancelTimerIfUnused()
        work?.end()
        if (outcome != null) done(outcome)
    }

    private fun cancelTimerIfUnused() {
        if (isFinished && attempts.isEmpty()) timer?.cancel()
    }

    override fun giveUp(reason: String) {
        for (attempt in attempts.toList()) attempt.discard(StatementEnd.Lost)
        if (isFinished) return
        finish(
            when {
                !wasAnySent -> Outcome.error(ErrorCode.BUSY, "no target was free in time")
                statement.access == Access.WRITE -> Outcome.error(ErrorCode.OUTCOME_UNKNOWN, reason)
                else -> Outcome.error(ErrorCode.TIMEOUT, reason)
            },
        )
    }

    private fun retry() {
        val work = work ?: return
        if (isFinished || attempts.isNotEmpty()) return
        refusal?.let { return finish(Outcome.error(it.code, it.text)) }
        isQueued = true
        group.resubmit(work)
    }

    private inner class Attempt(
        override val target: Target,
        private val connection: PooledConnection,
        private val after: LogPosition?,
    ) : InFlightWrite {
        private val startedAtMillis = services.timers.nowMillis()
        private var isComplete = false
        private var isCountedAsOverdue = false
        var isSent = false
            private set

        fun start() {
            target.started(kind)
            connection.prepareFor(work!!.state) { isPrepared -> if (isPrepared) send() else onConnectionLost() }
        }

        private fun send() {
            if (isComplete) return
            val mustBePrimary = after == null
            val isPrimaryLost = mustBePrimary && !group.isPrimaryUsable()
            if (refusal != null || isPrimaryLost || !group.mayStart(target)) return retryElsewhere(NO_AVOID_MILLIS)
            isSent = true
            wasAnySent = true
            if (statement.access == Access.WRITE) group.writes.sent(this) else scheduleHedge()
            connection.execute(statement.toTarget(connection, after)) { answer -> onAnswer(answer) }
        }

        private fun scheduleHedge() {
            val delayMillis = maxOf(MIN_HEDGE_DELAY_MILLIS, (target.serviceMillis * HEDGE_SERVICE_TIME_FACTOR).toLong())
            services.timers.after(delayMillis) {
                val isUnderWay = !isComplete && !isFinished
                if (isUnderWay && !isHedged && refusal == null) {
                    isHedged = true
                    onOverdue()
                    work!!.avoid(target, services.timers.nowMillis() + route.timeoutMillis)
                    services.log.request(
                        statement.id,
                        "hedged",
                        "target",
                        target.entry.id.value,
                        "after_ms",
                        delayMillis,
                    )
                    group.resubmit(work!!)
                }
            }
        }

        private fun onOverdue() {
            if (!services.features.learnsCapacity) return
            isCountedAsOverdue = true
            target.failed()
        }

        /** False when the statement failed in a way that the target may have caused. */
        private fun isServed(answer: TargetAnswer): Boolean = answer.error?.code != ErrorCode.FAILED

        private fun onAnswer(answer: TargetAnswer?) {
            if (isComplete) return
            if (answer == null) return onConnectionLost()
            val code = answer.error?.code
            if (code != null && code.isNotRun && code != ErrorCode.MALFORMED) return onNotRun(code, answer)
            complete(
                StatementEnd.Answered((services.timers.nowMillis() - startedAtMillis).toDouble(), isServed(answer)),
            )
            connection.releaseOrClose(answer)
            if (statement.access == Access.WRITE && answer.isSuccess) {
                Acknowledgement(services, group, target, answer, ::finish).start()
            } else {
                finish(Outcome.of(answer))
            }
        }

        private fun onNotRun(code: ErrorCode, answer: TargetAnswer) {
            services.log.request(
                statement.id,
                "not_run",
                "target",
                target.entry.id.value,
                "code",
                code,
                "after",
                after ?: "-",
            )
            if (code == ErrorCode.BUSY) target.backOff(BUSY_AVOID_MILLIS)
            complete(if (code == ErrorCode.BUSY) StatementEnd.Refused else StatementEnd.Unmeasured)
            if (code == ErrorCode.UNKNOWN_STATEMENT) connection.close() else connection.releaseOrClose(answer)
            work!!.avoid(target, services.timers.nowMillis() + avoidMillis(code))
            retry()
        }

        private fun avoidMillis(code: ErrorCode): Long = when (code) {
            ErrorCode.LAGGING -> LAGGING_AVOID_MILLIS
            ErrorCode.READ_ONLY -> READ_ONLY_AVOID_MILLIS
            else -> BUSY_AVOID_MILLIS
        }

        private fun retryElsewhere(avoidMillis: Long) {
            complete(StatementEnd.Unmeasured)
            connection.release()
            work!!.avoid(target, services.timers.nowMillis() + avoidMillis)
            retry()
        }

        private fun onConnectionLost() {
            if (isComplete) return
            val ambiguous = connection.ambiguousError?.code
            if (ambiguous != null) onAmbiguous(ambiguous) else complete(StatementEnd.Lost)
            connection.close()
            if (isSent && statement.access == Access.WRITE) {
                finish(Outcome.error(ErrorCode.OUTCOME_UNKNOWN, "the target's answer was lost"))
            } else {
                retry()
            }
        }

        private fun onAmbiguous(code: ErrorCode) {
            services.log.request(statement.id, "ambiguous_error", "target", target.entry.id.value, "code", code)
            if (code == ErrorCode.BUSY) target.backOff(BUSY_AVOID_MILLIS)
            complete(if (code == ErrorCode.BUSY) StatementEnd.Refused else StatementEnd.Unmeasured)
            work!!.avoid(target, services.timers.nowMillis() + avoidMillis(code))
        }

        override fun abandon() {
            discard()
            finish(Outcome.error(ErrorCode.OUTCOME_UNKNOWN, "the primary is being replaced"))
        }

        fun discard(end: StatementEnd = StatementEnd.Unmeasured) {
            if (isComplete) return
            complete(if (isSent) end else StatementEnd.Unmeasured)
            connection.close()
        }

        private fun complete(end: StatementEnd) {
            isComplete = true
            attempts.remove(this)
            cancelTimerIfUnused()
            group.writes.resolved(this)
            val isCounted = isCountedAsOverdue && end == StatementEnd.Lost
            target.finished(kind, if (isCounted) StatementEnd.Unmeasured else end)
        }
    }

    private companion object {
        /** How long further attempts leave a target out, by why it did not run the statement. */
        const val NO_AVOID_MILLIS = 0L
        const val BUSY_AVOID_MILLIS = 15L
        const val LAGGING_AVOID_MILLIS = 30L
        const val READ_ONLY_AVOID_MILLIS = 50L

        /** A read is hedged after this time or this multiple of the target's mean service time, if that is longer. */
        const val MIN_HEDGE_DELAY_MILLIS = 180L
        const val HEDGE_SERVICE_TIME_FACTOR = 5.0
    }
}
