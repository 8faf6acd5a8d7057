package dev.cardamomlane.bench.history

/** A statement whose caller was told that it has not run has left no row. */
internal object RefusedRowsAbsent : HistoryCheck {
    override fun violations(history: History): List<Violation> =
        history.operations.filter { it.writes && it.outcome == Outcome.NOT_RUN }.flatMap { operation ->
            operation.statements
                .filter { history.rowsOf(operation.database, it).isNotEmpty() }
                .map { Violation("refused-rows-absent", "$it was refused as not run and has run", listOf(operation)) }
        }
}
