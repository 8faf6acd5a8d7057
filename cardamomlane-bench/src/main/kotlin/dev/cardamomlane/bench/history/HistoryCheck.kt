package dev.cardamomlane.bench.history

/** Finds violations of one invariant in a history. */
internal fun interface HistoryCheck {
    fun violations(history: History): List<Violation>

    companion object {
        /** The checks that need only the history. [RateBound] also needs the limits of the customers. */
        val ALL: List<HistoryCheck> =
            listOf(
                AcknowledgedRowsPresent,
                RowsOnce,
                RefusedRowsAbsent,
                ReadYourWrites,
                WholeTransactions,
                OwnAnswers,
            )
    }
}
