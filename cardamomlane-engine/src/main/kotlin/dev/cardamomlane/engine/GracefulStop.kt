package dev.cardamomlane.engine

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.fleet.Fleet
import dev.cardamomlane.engine.forward.ForwardedOperations
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.session.CallerSession

/**
 * Stops a host without cutting off the statements of its callers.
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

    /** Begins the stop, see [ProxyHost.stop]. Further calls have no effect. */
    fun start(graceMillis: Long, stopAccepting: () -> Unit, done: () -> Unit) {
        if (isStopping) return
        isStopping = true
        log.event("host", "stopping", "sessions", sessions.size)
        fleet.heartbeat()
        forwarded.leave()
        timers.after(minOf(STOP_ACCEPTING_DELAY_MILLIS, graceMillis / 3)) {
            isClosing = true
            stopAccepting()
            sessions.toList().forEach { it.closeWhenIdle() }
        }
        timers.after(graceMillis / 2) {
            sessions.toList().forEach { it.abortTransaction(REASON) }
            forwarded.abortTransactions(REASON)
        }
        finish(timers.nowMillis() + graceMillis, done)
    }

    private fun finish(endMillis: Long, done: () -> Unit) {
        val isDone = isClosing && sessions.isEmpty() && forwarded.isIdle
        if (isDone || timers.nowMillis() >= endMillis) {
            log.event("host", "stopped", "sessions", sessions.size)
            return done()
        }
        timers.after(POLL_INTERVAL_MILLIS) { finish(endMillis, done) }
    }

    private companion object {
        const val REASON = "the host is stopping"
        const val POLL_INTERVAL_MILLIS = 50L

        /** How long a stopping host serves new callers, so that the load balancer can take it out. */
        const val STOP_ACCEPTING_DELAY_MILLIS = 2_200L
    }
}
