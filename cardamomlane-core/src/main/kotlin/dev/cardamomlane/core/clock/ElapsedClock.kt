package dev.cardamomlane.core.clock

/** A clock that tells how much time has passed and that no step of the time of day moves. */
public fun interface ElapsedClock {
    /** Milliseconds since an arbitrary origin. */
    public fun nowMillis(): Long
}
