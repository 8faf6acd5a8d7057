package dev.cardamomlane.standin.target

/** The outcome of a commit on a target. */
internal enum class CommitOutcome {
    COMMITTED,

    /** The target no longer accepts writes, for example because it was fenced. The transaction is rolled back. */
    REFUSED,

    /** The commit took effect, and an injected fault requires the connection to close before the answer is sent. */
    ANSWER_LOST,
}
