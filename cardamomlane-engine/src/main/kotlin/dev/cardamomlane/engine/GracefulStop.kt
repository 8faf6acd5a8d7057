package dev.cardamomlane.engine

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.stop.StopTimes
import dev.cardamomlane.engine.fleet.Fleet
import dev.cardamomlane.engine.forward.ForwardedOperations
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.session.CallerSession
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.StatementError

/**
 * Stops a host without cutting off the statements of its callers, at the times that [StopTimes] lists.
 *
 * Not safe for use by several threads.
 *
 * @param sessions the host's open sessions, as they are at any time
 */
internal class GracefulStop(
    private val sessions: Collection<CallerSession>,
    private val forwarded: ForwardedOperations,
    private val fleet: Fleet,
    private val timers: TimerService,
    private val log: DecisionLog,
) {
    /** True once the stop has begun. */
    var isStopping = false
        private set

    /** True once no new sessions and operations are accepted. */
    var isClosing = false
        private set

    /** True once nothing is begun any more: what would be begun now might not end in time. */
    var isEnding = false
        private set

    /** Begins the stop, see [ProxyHost.stop]. Further calls have no effect. */
    fun start(times: StopTimes, stopAccepting: () -> Unit, done: () -> Unit) {
        if (isStopping) return
        isStopping = true
        log.event("host", "stopping", "sessions", sessions.size)
        fleet.heartbeat()
        forwarded.leave()
        timers.after(times.closingMillis) {
            isClosing = true
            stopAccepting()
            sessions.toList().forEach { it.closeWhenIdle() }
        }
        timers.after(times.endingMillis, ::endOperations)
        timers.after(times.lastAnswersMillis, ::giveUp)
        finish(timers.nowMillis() + times.endMillis, done)
    }

    private fun endOperations() {
        isEnding = true
        val error = StatementError(ErrorCode.UNAVAILABLE, REASON)
        sessions.toList().forEach { it.endOperation(error) }
        forwarded.forEach { it.endOperation(error) }
    }

    private fun giveUp() {
        val busyCount = sessions.count { !it.isIdle }
        if (busyCount > 0) log.event("host", "out_of_time", "sessions", busyCount)
        sessions.toList().forEach { it.giveUp(REASON) }
        forwarded.forEach { it.giveUp(REASON) }
    }

    /** @param wasIdle true when nothing was under way one interval ago, so that the last answers have been sent */
    private fun finish(endMillis: Long, done: () -> Unit, wasIdle: Boolean = false) {
        val isIdle = isClosing && sessions.isEmpty() && forwarded.isIdle
        val leftMillis = endMillis - timers.nowMillis()
        if (isIdle && wasIdle || leftMillis <= 0) {
            log.event("host", "stopped", "sessions", sessions.size)
            return done()
        }
        timers.after(minOf(POLL_INTERVAL_MILLIS, leftMillis)) { finish(endMillis, done, isIdle) }
    }

    private companion object {
        const val REASON = "the host is stopping"
        const val POLL_INTERVAL_MILLIS = 50L
    }
}
