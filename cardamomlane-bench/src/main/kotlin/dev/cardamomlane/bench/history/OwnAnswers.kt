package dev.cardamomlane.bench.history

/** Each read got the answer to its own request: its own echo, and only rows of the author it asked for. */
internal object OwnAnswers : HistoryCheck {
    private const val NAME = "own-answers"

    override fun violations(history: History): List<Violation> = history.operations
        .filter { it.kind == OperationKind.READ && it.outcome == Outcome.ACKNOWLEDGED }
        .mapNotNull(::violationOf)

    private fun violationOf(read: Operation): Violation? {
        val expected = read.statements.single()
        if (read.echo != expected) return Violation(NAME, "expected echo $expected but got ${read.echo}", listOf(read))
        val foreign = read.seen.filterNot { it.startsWith("${read.readAuthor}.") }
        return if (foreign.isEmpty()) null else Violation(NAME, "got rows $foreign of others", listOf(read))
    }
}
