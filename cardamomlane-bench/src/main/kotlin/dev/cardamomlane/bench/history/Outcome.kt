package dev.cardamomlane.bench.history

/** How an operation ended for its caller. */
internal enum class Outcome {
    /** The caller has the whole answer. */
    ACKNOWLEDGED,

    /** Refused, with the promise that it has not run. */
    NOT_RUN,

    /** It may have run or not. */
    UNKNOWN,

    /** The target answered with an error of the statement itself. */
    ERROR,
}
