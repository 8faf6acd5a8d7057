package dev.cardamomlane.engine.forward

import kotlinx.serialization.Serializable

/** What one step of a forwarded operation does. */
@Serializable
public enum class StepKind {
    /** Runs a statement that reads. */
    READ,

    /** Runs a statement that writes. */
    WRITE,

    /** Commits the transaction. */
    COMMIT,

    /** Rolls back the transaction, or drops an operation whose answer is no longer wanted. Has no answer. */
    ROLLBACK,
}
