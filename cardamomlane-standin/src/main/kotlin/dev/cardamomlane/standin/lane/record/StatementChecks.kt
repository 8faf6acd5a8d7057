package dev.cardamomlane.standin.lane.record

import dev.cardamomlane.standin.lane.line.Line
import dev.cardamomlane.standin.lane.line.TextTrait
import dev.cardamomlane.standin.lane.record.Violation.Rule
import dev.cardamomlane.standin.lane.target.LineRequest
import dev.cardamomlane.standin.lane.wire.PlatformWords

/**
 * Compares what callers sent and were answered with what targets ran, by [history]. May be made while both go on.
 *
 * @param sent returns all that callers have sent
 */
internal class StatementChecks(private val history: GroupHistory, sent: () -> Collection<SentStatement>) {
    /** Taken before the sent statements, so that the statement of each run is among these. */
    private val runs = history.runs()
    private val sentById = sent().associateBy(SentStatement::statementId)
    private val operations = sentById.values.groupBy(SentStatement::operation)

    /** Taken after the sent statements, so that the run of each answer is among these. */
    private val digests = history.runs().values.flatten().mapTo(HashSet(), StatementRun::digest)

    /** Returns all violations. */
    fun violations(): List<Violation> = listOf(
        runs.flatMap { (id, ofId) -> ofId.flatMap { checkRun(id, it) } },
        sentById.values.mapNotNull(::mixed),
        sentById.values.mapNotNull(::unknownPlan),
        operations.values.flatMap(::movedTransactions),
        sharedTransactions(),
        operations.values.mapNotNull(::keptThoughRefused),
        history.repeatedCommits.filter(history::isKept).map { Violation(Rule.TWICE, "commits", it, it) },
    ).flatten()

    private fun checkRun(id: String, run: StatementRun): List<Violation> {
        if (id == LineRequest.NO_ID) return listOf(Violation(Rule.UNASKED, "without an id", id, "$run"))
        val sent = sentById[id] ?: return listOf(Violation(Rule.UNASKED, "id that nobody sent", id, "$run"))
        val content = run.content
        return listOfNotNull(
            unasked("text", sent, run).takeIf { textBesideName(content.text) != textBesideName(sent.text) },
            unasked("plan", sent, run).takeIf { content.plan != sent.plan },
            otherValues(sent, run).takeIf { content.values != sent.values },
        )
    }

    private fun unasked(cause: String, sent: SentStatement, run: StatementRun) =
        Violation(Rule.UNASKED, "$cause, ${sent.trait}", sent.statementId, "$sent ran as $run")

    private fun otherValues(sent: SentStatement, run: StatementRun): Violation {
        val trait = TextTrait.ofAny(sent.values.values)
        return Violation(Rule.PINNED, "values, $trait", sent.statementId, "$sent ran as $run")
    }

    /** The name of a prepared statement may differ. */
    private fun textBesideName(text: String): String {
        if (Line.word(text) != EXECUTE) return text
        return "$EXECUTE ${Line.fields(text, 2)?.get(1)}"
    }

    private fun mixed(sent: SentStatement): Violation? {
        val answer = sent.answer?.takeIf { it.isDone && Line.word(sent.text) in RUN_WORDS } ?: return null
        val run = history.runsOf(sent.statementId).find { it.digest == answer.digest }
        val cause = when {
            !answer.isRunByTarget -> "answer to a statement of a connection"
            run == null -> if (answer.digest in digests) "answer to another statement" else "unknown digest"
            run.content.rows != answer.rows -> "rows, ${TextTrait.ofAny(run.content.rows)}"
            else -> return null
        }
        return Violation(Rule.MIXED, cause, sent.statementId, "$sent, run: $run")
    }

    private fun unknownPlan(sent: SentStatement): Violation? {
        if (sent.plan == null || sent.answer?.code != PlatformWords.UNKNOWN_STATEMENT) return null
        return Violation(Rule.PINNED, "unknown plan", sent.statementId, "$sent")
    }

    /** The acknowledged statements of a transaction run in one transaction of a target, and single ones in none. */
    private fun movedTransactions(operation: List<SentStatement>): List<Violation> {
        val places = operation.mapNotNull { sent ->
            history.runsOf(sent.statementId).find { it.digest == sent.answer?.digest }?.let { sent to it.content }
        }
        val own = places.firstNotNullOfOrNull { (sent, content) -> content.transaction.takeIf { sent.isInTransaction } }
        return places.filter { (sent, content) ->
            if (sent.isInTransaction) {
                content.transaction == null || content.transaction != own
            } else {
                content.transaction !=
                    null
            }
        }.map { (sent, content) -> Violation(Rule.PINNED, "transaction", sent.statementId, "$sent ran in $content") }
    }

    /** A transaction of a target serves one operation. */
    private fun sharedTransactions(): List<Violation> = runs.flatMap { (id, ofId) ->
        val sent = sentById[id]
        if (sent == null) emptyList() else ofId.mapNotNull { run -> run.content.transaction?.let { it to sent } }
    }.groupBy({ it.first }, { it.second })
        .filterValues { users -> users.distinctBy(SentStatement::operation).size > 1 }
        .map { (number, users) ->
            Violation(Rule.PINNED, "shared transaction", users.first().statementId, "$number of $users")
        }

    private fun keptThoughRefused(operation: List<SentStatement>): Violation? {
        val refused = operation.find { it.answer?.code in NOT_RUN_CODES } ?: return null
        val kept = operation.find { history.isKept(it.statementId) } ?: return null
        return Violation(Rule.REFUSED, "${refused.answer?.code}", kept.statementId, "$refused, kept: $kept")
    }

    companion object {
        private const val EXECUTE = "EXEC"

        /** The statements that only a target can answer with success. */
        private val RUN_WORDS = setOf("READ", "WRITE", EXECUTE, "COMMIT")

        /** The errors that promise that nothing of an operation's attempt is kept. */
        val NOT_RUN_CODES = setOf(
            PlatformWords.BUSY,
            PlatformWords.ABORTED,
            PlatformWords.LAGGING,
            PlatformWords.READ_ONLY,
            PlatformWords.WRONG_TARGET,
            PlatformWords.TOO_MANY_CONNECTIONS,
        )
    }
}
