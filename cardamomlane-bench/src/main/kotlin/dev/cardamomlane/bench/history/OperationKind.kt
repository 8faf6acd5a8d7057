package dev.cardamomlane.bench.history

/** What an operation does with the table `notes`. */
internal enum class OperationKind {
    /** Inserts one row. */
    INSERT,

    /** Inserts two rows in one transaction. */
    TRANSACTION,

    /** Reads all rows of one author. */
    READ,
}
