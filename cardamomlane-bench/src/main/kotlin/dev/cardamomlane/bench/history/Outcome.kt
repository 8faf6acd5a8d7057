package dev.cardamomlane.bench.history

/** How an operation ended for its caller. */
internal enum class Outcome {
    /** The caller received the whole answer. */
    ACKNOWLEDGED,

    /** It failed with the guarantee that it has not run. */
    NOT_RUN,

    /** The caller cannot tell whether it has run. */
    UNKNOWN,

    /** The target answered that the statement itself failed. */
    ERROR,
}
