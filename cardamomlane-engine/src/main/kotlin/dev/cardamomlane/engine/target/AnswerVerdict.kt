package dev.cardamomlane.engine.target

/** What an answer on a connection is, as [AnswerOrder] finds. */
internal enum class AnswerVerdict {
    /** The first answer to the oldest statement without one. */
    FIRST,

    /**
     * Taken for the first answer to the oldest statement without one, which is a statement of the host. It may be a
     * second answer to an earlier one, so what it says beyond its success is not used.
     */
    DOUBTFUL,

    /** A second answer to an earlier statement, to be dropped. */
    REPETITION,

    /** Either the first answer to the oldest statement without one, or a second one: the connection must be closed. */
    AMBIGUOUS,

    /** The answer to no statement of the connection, which must be closed. */
    UNEXPECTED,
}
