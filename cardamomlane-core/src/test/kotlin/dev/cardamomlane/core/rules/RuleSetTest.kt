package dev.cardamomlane.core.rules

import arrow.core.getOrElse
import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.sql.StatementReader
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.fail

class RuleSetTest {
    private val ruleSet =
        parse(
            """
            rule any          : class=9                                                        # x
            rule reads        statement=read : class=8                                         # x
            rule marked       marker=m : class=8                                               # x
            rule a-customer   customer=a : class=7                                             # x
            rule notes        table=notes : class=6                                            # x
            rule notes-a      table=notes customer=a : class=6                                 # x
            rule o-prefix     database=o-* : class=5                                           # x
            rule o-1-prefix   database=o-1* : class=5                                          # x
            rule o-exact      database=o-1 statement=write : class=4                           # x
            rule fresh        database=p table=t,u statement=read : class=3 age=5s repeatable   # x
            rule fresher      database=p table=v statement=read : class=2 age=1s repeatable    # x
            rule open         database=p table=w statement=read : class=1 age=9s repeatable open # x
            customer a rate=1/s burst=1 # x
            """,
        )

    @TestFactory
    fun `the most specific rule decides`() = listOf(
        Case("x", "b", "DELETE FROM t", "any"),
        Case("x", "b", "SELECT * FROM t", "reads"),
        Case("x", "b", "/* lane:m */ SELECT 1", "marked"),
        Case("x", "a", "/* lane:m */ SELECT 1", "a-customer"),
        Case("x", "b", "SELECT * FROM notes", "notes"),
        Case("x", "a", "SELECT * FROM notes", "notes-a"),
        Case("o-2", "a", "SELECT * FROM notes", "o-prefix"),
        Case("o-12", "a", "SELECT * FROM notes", "o-1-prefix"),
        Case("o-1", "a", "DELETE FROM notes", "o-exact"),
        Case("o-1", "a", "SELECT * FROM notes", "o-1-prefix"),
        Case("x", null, "SELECT 1", "reads"),
    ).map { case ->
        DynamicTest.dynamicTest("$case") {
            assertEquals(case.rule, decide(case.database, case.customer, case.sql).ruleName)
        }
    }

    private data class Case(val database: String, val customer: String?, val sql: String, val rule: String)

    @Test
    fun `a statement that no rule matches runs on the primary, at most once and only with a key`() {
        val decision = RuleSet.EMPTY.decide(DatabaseId("x"), CustomerId("a"), StatementReader.read("SELECT 1"))

        assertEquals(
            RuleDecision(null, priorityClass = 5, maxAgeMillis = null, repeatable = false, open = false),
            decision,
        )
    }

    @Test
    fun `rules for further tables only remove permissions`() {
        val both = decide("p", "b", "SELECT * FROM t JOIN v ON true")
        assertEquals(
            listOf<Any?>("fresh", 3, 1_000L, true),
            listOf(both.ruleName, both.priorityClass, both.maxAgeMillis, both.repeatable),
        )

        val withUnknown = decide("p", "b", "SELECT * FROM t, secrets")
        assertEquals(
            listOf<Any?>("fresh", null, false),
            listOf(withUnknown.ruleName, withUnknown.maxAgeMillis, withUnknown.repeatable),
        )
    }

    @TestFactory
    fun `a statement runs without a key only if it is a read and all its tables are open`() = listOf(
        "SELECT * FROM w" to true,
        "SELECT * FROM w, t" to false,
        "SELECT * FROM w WHERE EXISTS (SELECT 1 FROM t)" to false,
        "SELECT * FROM secret.w" to false,
        "SELECT erase(1) FROM w" to false,
        "DELETE FROM w" to false,
        "SELECT 1" to false,
    ).map { (sql, open) -> DynamicTest.dynamicTest(sql) { assertEquals(open, decide("p", null, sql).open) } }

    @Test
    fun `a write never goes to a replica`() {
        val anyAge = parse("rule a table=t : class=1 age=5s # x")

        assertEquals(null, anyAge.decide(DatabaseId("x"), null, StatementReader.read("DELETE FROM t")).maxAgeMillis)
        assertEquals(5_000L, anyAge.decide(DatabaseId("x"), null, StatementReader.read("SELECT * FROM t")).maxAgeMillis)
    }

    @Test
    fun `an explanation says why each rule for the database does not cover the statement`() {
        val facts = StatementReader.read("SELECT * FROM notes")
        val considered = RuleExplanation.of(ruleSet, DatabaseId("x"), CustomerId("b"), facts).considered

        val mismatches = considered.associate { it.rule.name to it.mismatch }
        assertEquals(
            mapOf(
                "any" to null,
                "reads" to null,
                "marked" to "the marker m is missing",
                "a-customer" to "the rule names other customers",
                "notes" to null,
                "notes-a" to "the rule names other customers",
            ),
            mismatches,
        )
    }

    private fun decide(database: String, customer: String?, sql: String) =
        ruleSet.decide(DatabaseId(database), customer?.let(::CustomerId), StatementReader.read(sql))

    private fun parse(text: String) = RuleSet.parse("f", text.trimIndent()).getOrElse { fail(it.joinToString("\n")) }
}
