package dev.cardamomlane.bench.history

/** Every row whose write was acknowledged is in the database after the run. */
internal object AcknowledgedRowsPresent : HistoryCheck {
    override fun violations(history: History): List<Violation> =
        history.operations.filter { it.writes && it.outcome == Outcome.ACKNOWLEDGED }.flatMap { operation ->
            operation.statements
                .filter { history.rowsOf(operation.database, it).isEmpty() }
                .map { Violation("acknowledged-rows-present", "acknowledged row of $it is lost", listOf(operation)) }
        }
}
