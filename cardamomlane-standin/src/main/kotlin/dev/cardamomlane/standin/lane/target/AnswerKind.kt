package dev.cardamomlane.standin.lane.target

/** The kinds of answers that a target can send again. */
internal enum class AnswerKind {
    /** The success of a read, write or commit. */
    RUN,
    ERROR,

    /** The success of a statement that only concerns the connection, and the answer to its opening. */
    CONNECTION,
}
