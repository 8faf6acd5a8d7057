package dev.cardamomlane.bench.history

/** Either all rows of a transaction are present or none is, after the run and in every read. */
internal object WholeTransactions : HistoryCheck {
    private const val NAME = "whole-transactions"

    override fun violations(history: History): List<Violation> {
        val transactions = history.operations.filter { it.kind == OperationKind.TRANSACTION }
        return transactions.mapNotNull { finalViolation(history, it) } + readViolations(history, transactions)
    }

    private fun finalViolation(history: History, transaction: Operation): Violation? {
        val present = transaction.statements.filter { history.rowsOf(transaction.database, it).isNotEmpty() }
        if (present.isEmpty() || present.size == transaction.statements.size) return null
        return Violation(NAME, "only $present of ${transaction.statements} are there", listOf(transaction))
    }

    /** One violation for each transaction of which reads returned only a part of the rows, with these reads. */
    private fun readViolations(history: History, transactions: List<Operation>): List<Violation> {
        val byStatement = transactions.flatMap { t -> t.statements.map { it to t } }.toMap()
        return history.operations
            .filter { it.kind == OperationKind.READ }
            .flatMap { read -> seenInPart(read, byStatement).map { it to read } }
            .groupBy({ it.first }, { it.second })
            .map { (transaction, reads) ->
                val message = "${reads.size} reads saw part of ${transaction.statements}"
                Violation(NAME, message, listOf(transaction) + reads)
            }
    }

    private fun seenInPart(read: Operation, byStatement: Map<String, Operation>): List<Operation> {
        val seen = read.seen.mapTo(HashSet()) { History.statementOf(it) }
        return seen.mapNotNull { byStatement[it] }.distinct().filterNot { seen.containsAll(it.statements) }
    }
}
