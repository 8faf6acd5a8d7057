package dev.cardamomlane.engine

/** Where the hosts of a simulation take their time from. */
enum class ClockReading {
    /** The time since the machine started, as the hosts of the platform read it. */
    BOOT_TIME,

    /** A monotonic clock that stops while the machine is suspended. */
    MONOTONIC,

    /** A monotonic clock to which each forward jump of the time of day is added, as if it were a suspension. */
    MONOTONIC_AND_JUMPS,
}
