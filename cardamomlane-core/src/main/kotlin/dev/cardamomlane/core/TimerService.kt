package dev.cardamomlane.core

/**
 * Tells monotonic time and calls subscribers when a delay has passed.
 *
 * Parts subscribe here in place of reading a clock, so that tests run on a [ManualTimerService].
 */
public interface TimerService {
    /** Monotonic milliseconds since an arbitrary origin. Goes on while the process is paused. */
    public fun nowMillis(): Long

    /** Calls [action] once after [delayMillis]. The action must not block. */
    public fun after(delayMillis: Long, action: () -> Unit): TimerSubscription

    /** Calls [action] every [periodMillis], the first time after one period. The action must not block. */
    public fun every(periodMillis: Long, action: () -> Unit): TimerSubscription
}
