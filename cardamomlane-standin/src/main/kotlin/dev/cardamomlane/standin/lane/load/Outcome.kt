package dev.cardamomlane.standin.lane.load

/** How an operation ended for its caller. */
internal enum class Outcome {
    DONE,

    /** It failed, or was refused, until the caller gave up. */
    FAILED,

    /** A write or commit was answered with an error that leaves open whether it is kept. */
    UNKNOWN,

    /** A write or commit had no whole answer. */
    CUT,
}
