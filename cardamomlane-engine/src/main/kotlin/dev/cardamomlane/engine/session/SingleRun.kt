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
import dev.cardamomlane.engine.target.PooledConnection
import dev.cardamomlane.engine.target.Target

/**
 * Runs one statement outside a transaction.
 *
 * A read that gets no answer for long is run at a second target as well, and the first answer counts. A write is sent
 * again only after a target said that it did not run.
 */
internal class SingleRun(
    private val services: SessionServices,
    private val group: DatabaseGroup,
    private val route: Route,
    private val statement: StatementRun,
    private val done: (Outcome) -> Unit,
) : WorkRunner {
    private val attempts = ArrayList<Attempt>(1)
    private var work: Work? = null
    private var isOver = false
    private var isHedged = false
    private var wasSent = false
    private var timer: TimerSubscription? = null

    /** Starts, and ends by calling `done` once. */
    fun start(work: Work) {
        this.work = work
        val waitMillis = route.timeoutMillis
        timer = services.timers.after(waitMillis) { onTimeout() }
        group.submit(work)
    }

    /** Drops a run whose caller has left. A write that was sent runs to its end. */
    fun cancel() {
        if (attempts.isEmpty()) finish(null)
    }

    override fun run(work: Work, target: Target, connection: PooledConnection, after: LogPosition?) {
        if (isOver) return connection.release()
        Attempt(target, connection, after).also { attempts += it }.start()
    }

    override fun refuse(work: Work, code: ErrorCode, reason: String) {
        if (attempts.isEmpty()) finish(Outcome.error(code, reason))
    }

    private fun finish(outcome: Outcome?) {
        if (isOver) return
        isOver = true
        timer?.cancel()
        work?.end()
        if (outcome != null) done(outcome)
    }

    private fun onTimeout() {
        if (isOver) return
        for (attempt in attempts.toList()) attempt.drop()
        finish(
            when {
                !wasSent -> Outcome.error(ErrorCode.BUSY, "no target was free in time")
                statement.access == Access.WRITE -> Outcome.error(ErrorCode.OUTCOME_UNKNOWN, "no answer in time")
                else -> Outcome.error(ErrorCode.TIMEOUT, "no answer in time")
            },
        )
    }

    private fun again() {
        val work = work ?: return
        if (!isOver && attempts.isEmpty()) group.resubmit(work)
    }

    private inner class Attempt(
        override val target: Target,
        private val connection: PooledConnection,
        private val after: LogPosition?,
    ) : OpenWrite {
        private val startedAtMillis = services.timers.nowMillis()
        private var isSettled = false
        var isSent = false
            private set

        fun start() {
            target.started()
            connection.adopt(work!!.state) { isGood -> if (isGood) send() else lost() }
        }

        private fun send() {
            if (isSettled) return
            val mustLead = after == null
            if (mustLead && !group.isPrimaryUsable()) return notRun(NO_PAUSE_MILLIS)
            isSent = true
            wasSent = true
            if (statement.access == Access.WRITE) group.sent(this) else hedgeLater()
            connection.execute(statement.toTarget(after)) { answer -> onAnswer(answer) }
        }

        private fun hedgeLater() {
            val delayMillis = maxOf(HEDGE_MIN_MILLIS, (target.serviceMillis * HEDGE_FACTOR).toLong())
            services.timers.after(delayMillis) {
                if (!isSettled && !isOver && !isHedged) {
                    isHedged = true
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

        private fun onAnswer(answer: TargetAnswer?) {
            if (isSettled) return
            if (answer == null) return lost()
            val code = answer.error?.code
            if (code != null && code.isNotRun && code != ErrorCode.MALFORMED) return onNotRun(code, answer)
            settle(services.timers.nowMillis() - startedAtMillis)
            connection.giveBack(answer)
            if (statement.access == Access.WRITE && answer.isSuccess) {
                Acknowledgement(services, group, target, answer, ::finish).start()
            } else {
                finish(Outcome.of(answer))
            }
        }

        private fun onNotRun(code: ErrorCode, answer: TargetAnswer) {
            services.log.request(statement.id, "not_run", "target", target.entry.id.value, "code", code)
            if (code == ErrorCode.BUSY) target.backOff(BUSY_PAUSE_MILLIS)
            settle(null)
            if (code == ErrorCode.UNKNOWN_STATEMENT) connection.close() else connection.giveBack(answer)
            work!!.avoid(target, services.timers.nowMillis() + pauseMillis(code))
            again()
        }

        private fun pauseMillis(code: ErrorCode): Long = when (code) {
            ErrorCode.LAGGING -> LAGGING_PAUSE_MILLIS
            ErrorCode.READ_ONLY -> READ_ONLY_PAUSE_MILLIS
            else -> BUSY_PAUSE_MILLIS
        }

        private fun notRun(pauseMillis: Long) {
            settle(null)
            connection.release()
            work!!.avoid(target, services.timers.nowMillis() + pauseMillis)
            again()
        }

        private fun lost() {
            if (isSettled) return
            settle(null)
            connection.close()
            if (isSent && statement.access == Access.WRITE) {
                finish(Outcome.error(ErrorCode.OUTCOME_UNKNOWN, "the target's answer was lost"))
            } else {
                again()
            }
        }

        override fun abandon() {
            drop()
            finish(Outcome.error(ErrorCode.OUTCOME_UNKNOWN, "the primary is being replaced"))
        }

        fun drop() {
            if (isSettled) return
            settle(null)
            connection.close()
        }

        private fun settle(tookMillis: Long?) {
            isSettled = true
            attempts.remove(this)
            group.settled(this)
            target.finished(tookMillis?.toDouble())
        }
    }

    private companion object {
        const val NO_PAUSE_MILLIS = 0L
        const val BUSY_PAUSE_MILLIS = 15L
        const val LAGGING_PAUSE_MILLIS = 30L
        const val READ_ONLY_PAUSE_MILLIS = 50L
        const val HEDGE_MIN_MILLIS = 180L
        const val HEDGE_FACTOR = 5.0
    }
}
