package dev.cardamomlane.core

/** One subscription to a [TimerService]. */
public fun interface TimerSubscription {
    /** Ends the subscription. Calling it again has no effect. */
    public fun cancel()
}
