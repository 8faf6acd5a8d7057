package dev.cardamomlane.engine

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.TimerSubscription

/**
 * One machine with clocks of its own: its time of day may step, and it may be suspended. While it is suspended nothing
 * happens on it; what arrives waits. Timers don't count the time of a suspension.
 */
class SimulatedMachine(private val timers: TimerService, private val reading: ClockReading) : TimerService {
    private val waiting = ArrayDeque<() -> Unit>()
    private var suspendedAtMillis = 0L
    private var suspendedMillis = 0L
    private var stepMillis = 0L
    private var jumpMillis = 0L
    private var lastDifferenceMillis = 0L

    var isSuspended = false
        private set

    /** Moves the time of day by [millis], which may be negative. */
    fun step(millis: Long) {
        stepMillis += millis
    }

    /** Suspends the machine for [millis]. Has no effect on one that is suspended. */
    fun suspend(millis: Long) {
        if (isSuspended) return
        isSuspended = true
        suspendedAtMillis = timers.nowMillis()
        timers.after(millis) { resume() }
    }

    private fun resume() {
        suspendedMillis += timers.nowMillis() - suspendedAtMillis
        isSuspended = false
        while (waiting.isNotEmpty() && !isSuspended) waiting.removeFirst()()
    }

    /** Calls [action] now, or once the machine is no longer suspended. */
    fun whenAwake(action: () -> Unit) {
        if (isSuspended) waiting += action else action()
    }

    /** Drops what waits, as when the process is killed. */
    fun dropWaiting() {
        waiting.clear()
    }

    override fun nowMillis(): Long = when (reading) {
        ClockReading.BOOT_TIME -> timers.nowMillis()
        ClockReading.MONOTONIC -> monotonicMillis()
        ClockReading.MONOTONIC_AND_JUMPS -> monotonicMillis() + countedJumpsMillis()
    }

    private fun monotonicMillis() = (if (isSuspended) suspendedAtMillis else timers.nowMillis()) - suspendedMillis

    private fun countedJumpsMillis(): Long {
        if (isSuspended) return jumpMillis
        val differenceMillis = suspendedMillis + stepMillis
        val missedMillis = differenceMillis - lastDifferenceMillis
        if (missedMillis > MIN_JUMP_MILLIS) jumpMillis += missedMillis
        lastDifferenceMillis = differenceMillis
        return jumpMillis
    }

    override fun after(delayMillis: Long, action: () -> Unit): TimerSubscription = Timer(action).also {
        it.start(delayMillis)
    }

    override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription =
        timers.every(periodMillis) { if (!isSuspended) action() }

    private inner class Timer(private val action: () -> Unit) : TimerSubscription {
        private var isCancelled = false
        private var subscription: TimerSubscription? = null

        fun start(delayMillis: Long) {
            val suspendedBeforeMillis = suspendedMillis
            subscription = timers.after(delayMillis) {
                whenAwake {
                    val lateMillis = suspendedMillis - suspendedBeforeMillis
                    if (isCancelled) return@whenAwake
                    if (lateMillis > 0) start(lateMillis) else action()
                }
            }
        }

        override fun cancel() {
            isCancelled = true
            subscription?.cancel()
        }
    }

    private companion object {
        const val MIN_JUMP_MILLIS = 200L
    }
}
