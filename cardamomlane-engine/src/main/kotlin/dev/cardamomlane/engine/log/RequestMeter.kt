package dev.cardamomlane.engine.log

/** Counts answers to callers. */
public fun interface RequestMeter {
    /** Counts one answer on [route], given after [tookMillis]; [outcome] is `OK` or the error's code. */
    public fun count(route: String, outcome: String, tookMillis: Long)
}
