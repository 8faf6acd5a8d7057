package dev.cardamomlane.standin.lane.store

/** What became of a transaction. */
internal sealed interface TransactionOutcome {
    /** Applied as [version]. */
    data class Applied(val version: Long) : TransactionOutcome

    /** Not applied; [rows] are the present rows of those in the preconditions. */
    data class Conflict(val rows: List<StoreRow>) : TransactionOutcome
}
