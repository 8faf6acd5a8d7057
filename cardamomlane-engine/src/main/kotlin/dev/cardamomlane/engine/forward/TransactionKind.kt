package dev.cardamomlane.engine.forward

import kotlinx.serialization.Serializable

/** Whether an operation is a transaction. */
@Serializable
public enum class TransactionKind {
    /** One statement outside a transaction. */
    NONE,

    /** A transaction that only reads. */
    READ_ONLY,

    /** A transaction that may write. */
    READ_WRITE,
}
