package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.rules.RuleDecision
import dev.cardamomlane.core.rules.RuleSet
import dev.cardamomlane.core.sql.StatementFacts
import dev.cardamomlane.core.sql.StatementKind
import dev.cardamomlane.wire.FrontendMessage
import dev.cardamomlane.wire.NameKind

/** Plans the units of one caller session, and keeps its prepared statements and portals by the caller's names. */
internal class UnitPlanner(
    private val database: DatabaseId,
    private val customer: CustomerId?,
    private val facts: StatementFactsCache,
) {
    private val statements = HashMap<String, PreparedStatement>()
    private val portals = HashMap<String, PreparedStatement?>()

    fun plan(unit: StatementUnit, rules: RuleSet): UnitPlan {
        val executed = mutableListOf<StatementFacts>()
        val referenced = mutableListOf<StatementFacts>()
        var reason: String? = null
        val resolved = unit.frames.map { frame ->
            val message = frame.message
            val statement = resolve(message)
            statement?.let { referenced += it.facts }
            if (message is FrontendMessage.Query) executed += facts.read(message.sql)
            if (message is FrontendMessage.Execute) portals[message.portal]?.let { executed += it.facts }
            reason = reason ?: refusal(message)
            statement
        }
        // A unit that runs nothing, such as Parse and Describe, is planned by the statements that it refers to.
        val relevant = executed.ifEmpty { referenced }
        return UnitPlan(
            statements = resolved,
            executed = executed,
            decision = decide(relevant, rules),
            isWrite = executed.any { it.kind == StatementKind.WRITE },
            usesRate = executed.any { it.kind == StatementKind.WRITE || it.kind == StatementKind.READ },
            begins = executed.any { it.kind == StatementKind.BEGIN },
            beginsReadOnly = executed.any { it.kind == StatementKind.BEGIN && it.readOnly },
            commits = executed.any { it.kind == StatementKind.COMMIT },
            rollsBack = executed.any { it.kind == StatementKind.ROLLBACK },
            unsupportedReason = reason ?: relevant.firstNotNullOfOrNull { unsupported(it) },
        )
    }

    private fun resolve(message: FrontendMessage): PreparedStatement? = when (message) {
        is FrontendMessage.Parse -> {
            val statement = PreparedStatement(message.sql, message.parameterOids, facts.read(message.sql))
            statements[message.statement] = statement
            statement
        }
        is FrontendMessage.Bind -> statements[message.statement].also { portals[message.portal] = it }
        is FrontendMessage.Describe -> if (message.kind == NameKind.STATEMENT) statements[message.name] else null
        is FrontendMessage.Close -> {
            if (message.kind == NameKind.STATEMENT) statements.remove(message.name) else portals.remove(message.name)
            null
        }
        else -> null
    }

    private fun refusal(message: FrontendMessage): String? = when (message) {
        is FrontendMessage.Flush -> "Flush without Sync"
        is FrontendMessage.Other -> "message '${message.type}'"
        else -> null
    }

    private fun unsupported(statement: StatementFacts): String? = when {
        statement.unsupportedReason != null -> statement.unsupportedReason
        statement.setName == null -> null
        statement.count > 1 -> "a change of a session parameter among other statements"
        statement.kind == StatementKind.SET && !SessionParameters.mayChange(statement) -> "SET ${statement.setName}"
        statement.kind == StatementKind.RESET && !SessionParameters.mayReset(statement) -> "RESET ${statement.setName}"
        else -> null
    }

    private fun decide(relevant: List<StatementFacts>, rules: RuleSet): RuleDecision = relevant
        .filter { it.kind == StatementKind.READ || it.kind == StatementKind.WRITE }
        .map { rules.decide(database, customer, it) }
        .reduceOrNull { one, other -> strictestOf(one, other) }
        ?: rules.decide(database, customer, facts.read(""))

    private fun strictestOf(one: RuleDecision, other: RuleDecision) = RuleDecision(
        ruleName = one.ruleName ?: other.ruleName,
        priorityClass = minOf(one.priorityClass, other.priorityClass),
        maxAgeMillis = one.maxAgeMillis?.let { first -> other.maxAgeMillis?.let { minOf(first, it) } },
        repeatable = one.repeatable && other.repeatable,
        open = one.open && other.open,
    )
}
