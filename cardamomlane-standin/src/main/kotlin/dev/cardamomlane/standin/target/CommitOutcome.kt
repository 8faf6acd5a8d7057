package dev.cardamomlane.standin.target

/** How a commit ended. */
internal enum class CommitOutcome {
    COMMITTED,

    /** The target may no longer write. The transaction is rolled back. */
    REFUSED,

    /** The commit took effect, and the connection is to close before its answer. */
    ANSWER_LOST,
}
