package dev.cardamomlane.standin.lane.record

import dev.cardamomlane.standin.lane.line.Line
import dev.cardamomlane.standin.lane.line.TextTrait
import dev.cardamomlane.standin.lane.target.LineRequest
import dev.cardamomlane.standin.lane.wire.PlatformWords

/** Compares what callers [sent] and were answered with what targets ran, by [history]. */
internal class StatementChecks(sent: Collection<SentStatement>, private val history: GroupHistory) {
    private val sentById = sent.associateBy(SentStatement::statementId)
    private val operations = sent.groupBy(SentStatement::operation)

    private val digests by lazy { history.runs().values.flatten().mapTo(HashSet(), StatementRun::digest) }

    /** Returns all violations. */
    fun violations(): List<Violation> = history.runs().flatMap { (id, runs) -> runs.flatMap { checkRun(id, it) } } +
        sentById.values.mapNotNull(::mixed) +
        operations.values.flatMap(::transactionsOf) +
        sentById.values.filter(::isUnknownPlan).map { Violation(Violation.Rule.PINNED, "unknown plan", "$it") } +
        sharedTransactions() +
        operations.values.mapNotNull(::keptThoughRefused) +
        history.repeatedCommits.filter(history::isKept).map { Violation(Violation.Rule.TWICE, "commits", it) }

    private fun checkRun(id: String, run: StatementRun): List<Violation> {
        val content = run.content
        if (id == LineRequest.NO_ID) return listOf(unasked("without an id", "", run))
        val sent = sentById[id] ?: return listOf(unasked("id that nobody sent", "$id was not sent", run))
        return listOfNotNull(
            unasked("text, ${sent.trait}", sent.toString(), run).takeIf {
                textBesideName(content.text) !=
                    textBesideName(sent.text)
            },
            unasked("plan, ${sent.trait}", sent.toString(), run).takeIf { content.plan != sent.plan },
            Violation(Violation.Rule.PINNED, "values, ${TextTrait.ofAny(sent.values.values)}", "$sent ran as $run")
                .takeIf { content.values != sent.values },
        )
    }

    private fun unasked(cause: String, sent: String, run: StatementRun) =
        Violation(Violation.Rule.UNASKED, cause, "$sent ran as $run")

    /** The name of a prepared statement may differ. */
    private fun textBesideName(text: String): String {
        if (Line.word(text) != EXECUTE) return text
        return "$EXECUTE ${Line.fields(text, 2)?.get(1)}"
    }

    private fun mixed(sent: SentStatement): Violation? {
        val answer = sent.answer?.takeIf { it.isDone && Line.word(sent.text) in RUN_WORDS } ?: return null
        val run = history.runsOf(sent.statementId).find { it.digest == answer.digest }
        val cause = when {
            answer.digest == "-" -> "answer to a statement of a connection"
            run == null -> if (answer.digest in digests) "answer to another statement" else "unknown digest"
            run.content.rows != answer.rows -> "rows, ${TextTrait.ofAny(run.content.rows)}"
            else -> return null
        }
        return Violation(Violation.Rule.MIXED, cause, "$sent, run: $run")
    }

    /** The acknowledged statements of a transaction run in one transaction of a target, and single ones in none. */
    private fun transactionsOf(operation: List<SentStatement>): List<Violation> {
        val places = operation.mapNotNull { sent ->
            history.runsOf(sent.statementId).find { it.digest == sent.answer?.digest }?.let { sent to it.content }
        }
        val known = places.firstOrNull { it.first.isInTransaction }?.second
        return places.filter { (sent, content) ->
            val expected = if (sent.isInTransaction) known else null
            content.transaction != expected?.transaction || (expected != null && content.transaction == null)
        }.map { (sent, content) -> Violation(Violation.Rule.PINNED, "transaction", "$sent ran in $content") }
    }

    private fun isUnknownPlan(sent: SentStatement) =
        sent.plan != null && sent.answer?.code == PlatformWords.UNKNOWN_STATEMENT

    /** A transaction of a target serves one operation. */
    private fun sharedTransactions(): List<Violation> = history.runs().flatMap { (id, runs) ->
        val operation = sentById[id]?.operation ?: return@flatMap emptyList()
        runs.mapNotNull { run -> run.content.transaction?.let { it to operation } }
    }.groupBy({ it.first }, { it.second }).filterValues { it.distinct().size > 1 }
        .map { Violation(Violation.Rule.PINNED, "shared transaction", "${it.key} of ${it.value.distinct()}") }

    private fun keptThoughRefused(operation: List<SentStatement>): Violation? {
        val refused = operation.find { it.answer?.code in NOT_RUN_CODES } ?: return null
        val kept = operation.find { history.isKept(it.statementId) } ?: return null
        return Violation(Violation.Rule.REFUSED, "${refused.answer?.code}", "$refused, kept: $kept")
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
