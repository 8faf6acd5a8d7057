package dev.cardamomlane.bench.history

/** Finds violations of one invariant in a history. */
internal fun interface HistoryCheck {
    fun violations(history: History): List<Violation>

    companion object {
        /** Every check that needs nothing but the history. */
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
