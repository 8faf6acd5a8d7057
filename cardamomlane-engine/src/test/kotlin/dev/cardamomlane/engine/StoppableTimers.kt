package dev.cardamomlane.engine

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.TimerSubscription

/** The timers of one process: after [stop], no action is called any more. */
class StoppableTimers(private val timers: TimerService) : TimerService {
    var isRunning = true
        private set

    fun stop() {
        isRunning = false
    }

    override fun nowMillis(): Long = timers.nowMillis()

    override fun after(delayMillis: Long, action: () -> Unit): TimerSubscription =
        timers.after(delayMillis) { if (isRunning) action() }

    override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription =
        timers.every(periodMillis) { if (isRunning) action() }
}
