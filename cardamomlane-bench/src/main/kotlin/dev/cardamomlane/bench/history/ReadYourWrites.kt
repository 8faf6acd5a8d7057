package dev.cardamomlane.bench.history

/** A session that reads its own rows gets, on any daemon, every row whose write was acknowledged to it before. */
internal object ReadYourWrites : HistoryCheck {
    override fun violations(history: History): List<Violation> =
        history.operations.groupBy { it.session }.values.flatMap { violationsOf(it.sortedBy(Operation::number)) }

    private fun violationsOf(operations: List<Operation>): List<Violation> {
        val violations = ArrayList<Violation>()
        val written = LinkedHashMap<String, Operation>()
        for (operation in operations) {
            if (operation.outcome != Outcome.ACKNOWLEDGED) continue
            if (operation.writes) {
                operation.statements.forEach { written[it] = operation }
            } else if (operation.readAuthor == operation.session) {
                val seen = operation.seen.mapTo(HashSet()) { History.statementOf(it) }
                written.filterKeys { it !in seen }.forEach { (statement, write) ->
                    violations += Violation("read-your-writes", "read misses $statement", listOf(write, operation))
                }
            }
        }
        return violations
    }
}
