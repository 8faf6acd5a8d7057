package dev.cardamomlane.bench.history

/** No write has run more than once, whatever outcome its caller was told. */
internal object RowsOnce : HistoryCheck {
    override fun violations(history: History): List<Violation> =
        history.operations.filter { it.writes }.flatMap { operation ->
            operation.statements
                .filter { history.rowsOf(operation.database, it).size > 1 }
                .map {
                    Violation(
                        "rows-once",
                        "$it ran ${history.rowsOf(operation.database, it).size} times",
                        listOf(operation),
                    )
                }
        }
}
