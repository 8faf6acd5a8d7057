package dev.cardamomlane.core.rules

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.sql.StatementFacts
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * Tells operators why [RuleSet.decide] decides on a statement as it does.
 *
 * @property decision the result of [RuleSet.decide]
 * @property considered every rule that covers the database, in the order of the file
 */
public data class RuleExplanation(val decision: RuleDecision, val considered: ImmutableList<ConsideredRule>) {
    public companion object {
        /**
         * Explains the decision on one statement of [customer], which is null for a caller without a key. Takes time
         * linear in the number of rules.
         */
        public fun of(
            ruleSet: RuleSet,
            database: DatabaseId,
            customer: CustomerId?,
            facts: StatementFacts,
        ): RuleExplanation {
            val considered =
                ruleSet.rules
                    .filter { rule -> rule.databases.any { it.matches(database) } }
                    .map { ConsideredRule(it, mismatch(it, customer, facts)) }
            return RuleExplanation(ruleSet.decide(database, customer, facts), considered.toImmutableList())
        }

        private fun mismatch(rule: Rule, customer: CustomerId?, facts: StatementFacts): String? {
            val access = StatementAccess.of(facts)
            return when {
                rule.access != null && rule.access != access -> "the statement is a ${access.word}"
                rule.tables.isNotEmpty() && facts.tables.none { it in rule.tables } ->
                    "the statement names none of ${rule.tables.joinToString()}"
                rule.customers.isNotEmpty() && customer !in rule.customers -> "the rule names other customers"
                rule.marker != null && rule.marker != facts.marker -> "the marker ${rule.marker} is missing"
                else -> null
            }
        }
    }
}
