package dev.cardamomlane.cli

import arrow.core.getOrElse
import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.rules.RuleDecision
import dev.cardamomlane.core.rules.RuleExplanation
import dev.cardamomlane.core.rules.RuleSet
import dev.cardamomlane.core.sql.StatementFacts
import dev.cardamomlane.core.sql.StatementKind
import dev.cardamomlane.core.sql.StatementReader
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.ParentCommand
import java.nio.file.Path
import java.util.concurrent.Callable

/** Prints which rule applies to a statement, how the statement would run, and why the other rules do not apply. */
@Command(name = "explain", description = ["Shows which rule, class and target kind a statement gets, and why."])
internal class ExplainCommand : Callable<Int> {
    @ParentCommand
    lateinit var parent: LaneCtl

    @Option(names = ["--database"], required = true, paramLabel = "NAME")
    lateinit var database: String

    @Option(names = ["--customer"], paramLabel = "NAME", description = ["Default: a caller without a key."])
    var customer: String? = null

    @Option(names = ["--rules"], paramLabel = "FILE", description = ["A rule file. Default: the rules in force."])
    var rulesFile: Path? = null

    @Parameters(paramLabel = "SQL")
    lateinit var sql: String

    override fun call(): Int {
        val facts = StatementReader.read(sql)
        val explanation = RuleExplanation.of(rules(), DatabaseId(database), customer?.let(::CustomerId), facts)
        if (parent.json) printJson(facts, explanation) else printLines(facts, explanation)
        return ExitCodes.OK
    }

    private fun rules(): RuleSet {
        val file = rulesFile
        val text = if (file != null) {
            RuleFile.readText(file)
        } else {
            parent.withConnection { it.revision(it.head().accepted).rulesText }
        }
        return RuleSet.parse(file?.toString() ?: "rules in force", text).getOrElse {
            throw CommandFailure(ExitCodes.REFUSED, it.joinToString("\n"))
        }
    }

    private fun printLines(facts: StatementFacts, explanation: RuleExplanation) {
        val decision = explanation.decision
        val tables = facts.tables.joinToString().ifEmpty { "none" }
        with(parent.out) {
            println("statement ${facts.kind.name.lowercase()}, tables $tables, marker ${facts.marker ?: "none"}")
            facts.unsupportedReason?.let { println("refused   not supported: $it") }
            // "the safe side": as no rule matches, RuleDecision.UNMATCHED grants no permission.
            println("rule      ${decision.ruleName ?: "none, so the safe side"}")
            println("class     ${decision.priorityClass}")
            println("target    ${targetKind(facts, decision)}")
            println("repeats   ${if (decision.repeatable) "allowed" else "at most once"}")
            println("key       ${if (decision.open) "not needed" else "needed"}")
            explanation.considered.forEach { println("considered ${it.rule.name}: ${it.mismatch ?: "covers it"}") }
        }
    }

    private fun printJson(facts: StatementFacts, explanation: RuleExplanation) {
        val decision = explanation.decision
        val answer =
            buildJsonObject {
                put("kind", facts.kind.name.lowercase())
                put("rule", decision.ruleName)
                put("class", decision.priorityClass)
                put("target", targetKind(facts, decision))
                put("maxAgeMillis", decision.maxAgeMillis)
                put("repeatable", decision.repeatable)
                put("open", decision.open)
                putJsonArray("considered") {
                    explanation.considered.forEach {
                        addJsonObject {
                            put("rule", it.rule.name)
                            put("mismatch", it.mismatch)
                        }
                    }
                }
            }
        parent.out.println(answer)
    }

    private fun targetKind(facts: StatementFacts, decision: RuleDecision): String {
        val age = decision.maxAgeMillis
        return when {
            facts.kind == StatementKind.UNSUPPORTED -> "none"
            age != null -> "a replica that is at most $age ms old and holds the session's writes, else the primary"
            else -> "primary"
        }
    }
}
