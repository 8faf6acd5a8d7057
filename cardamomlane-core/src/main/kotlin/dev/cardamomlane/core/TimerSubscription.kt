package dev.cardamomlane.core

/** A timer that was started on a [TimerService]. */
public fun interface TimerSubscription {
    /** Stops the timer. Calling this again has no effect. */
    public fun cancel()
}
