package dev.cardamomlane.core

/**
 * Provides a monotonic clock, and timers that call an action when a delay has passed.
 *
 * Code uses this instead of the system clock, so that tests can control time with a [ManualTimerService].
 */
public interface TimerService {
    /**
     * Returns monotonic milliseconds since an arbitrary origin, which no step of the time of day moves. They also advance
     * while the process is paused, and should while the machine is suspended.
     */
    public fun nowMillis(): Long

    /** Calls [action] once after [delayMillis]. The action must not block. */
    public fun after(delayMillis: Long, action: () -> Unit): TimerSubscription

    /** Calls [action] every [periodMillis], the first time after one period. The action must not block. */
    public fun every(periodMillis: Long, action: () -> Unit): TimerSubscription
}
