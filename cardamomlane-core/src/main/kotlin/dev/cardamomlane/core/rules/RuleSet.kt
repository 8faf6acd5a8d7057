package dev.cardamomlane.core.rules

import arrow.core.Either
import arrow.core.NonEmptyList
import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.Finding
import dev.cardamomlane.core.sql.StatementFacts
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * The rules and customer limits of one rule file. Immutable.
 *
 * The most specific rule decides. Rules are compared first by database (a name takes precedence over a prefix, and a
 * longer prefix over a shorter one), then by table, customer, marker and statement, in this order (a rule that names
 * the criterion takes precedence over one that does not). Among equally specific rules the first in the file decides.
 *
 * A rule is looked up for each table that the statement names, or once if it names none. The rule for the first table
 * decides the priority class. The rules for the other tables can only remove permissions: the statement may be
 * repeated, answered by a replica or run without a key only if the rule for each of its tables allows it.
 */
public class RuleSet internal constructor(
    public val rules: ImmutableList<Rule>,
    public val limits: ImmutableMap<CustomerId, CustomerLimit>,
) {
    internal val index = RuleIndex(rules)

    /** Decides how to run a statement of [customer], which is null for a caller without a key. */
    public fun decide(database: DatabaseId, customer: CustomerId?, facts: StatementFacts): RuleDecision {
        val access = StatementAccess.of(facts)
        val firstRule = find(database, facts.tables.firstOrNull(), customer, facts, access)
        var decision = decisionOf(firstRule, access)
        for (position in 1 until facts.tables.size) {
            val rule = find(database, facts.tables[position], customer, facts, access)
            if (rule !== firstRule) decision = decision.restrictedBy(decisionOf(rule, access))
        }
        return decision
    }

    internal fun find(
        database: DatabaseId,
        table: String?,
        customer: CustomerId?,
        facts: StatementFacts,
        access: StatementAccess,
    ): Rule? = index.find(database, table, customer, facts.marker, access)

    override fun equals(other: Any?): Boolean = other is RuleSet && other.rules == rules && other.limits == limits

    override fun hashCode(): Int = 31 * rules.hashCode() + limits.hashCode()

    override fun toString(): String = "RuleSet(${rules.size} rules, ${limits.size} customers)"

    public companion object {
        /** No rules and no customers. */
        public val EMPTY: RuleSet = RuleSet(persistentListOf(), persistentMapOf())

        /**
         * Parses [text], the content of a rule file. If it has defects, returns all of them in the order of their
         * locations.
         *
         * @param file the name of the file in findings
         */
        public fun parse(file: String, text: String): Either<NonEmptyList<Finding>, RuleSet> =
            RuleFileParser(file).parse(text)

        private fun decisionOf(rule: Rule?, access: StatementAccess): RuleDecision {
            if (rule == null) return RuleDecision.UNMATCHED
            val maxAgeMillis = rule.maxAgeMillis.takeIf { access == StatementAccess.READ }
            return RuleDecision(rule.name, rule.priorityClass, maxAgeMillis, rule.repeatable, rule.open)
        }

        private fun RuleDecision.restrictedBy(other: RuleDecision): RuleDecision {
            val ages = listOf(maxAgeMillis, other.maxAgeMillis)
            return copy(
                maxAgeMillis = if (null in ages) null else ages.filterNotNull().min(),
                repeatable = repeatable && other.repeatable,
                open = open && other.open,
            )
        }
    }
}
