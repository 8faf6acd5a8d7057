package dev.cardamomlane.core.rules

import arrow.core.getOrElse
import dev.cardamomlane.core.CustomerId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.fail

class RuleFileParserTest {
    @TestFactory
    fun `reports each defect with its line and column`() = listOf(
        "rule a : class=1" to "1:17: the line must end with a comment that names who asked for it",
        "rule a : class=1 #  " to "1:17: the line must end with a comment that names who asked for it",
        "rules a : class=1 # x" to "1:1: a line must start with rule or customer but starts with \"rules\"",
        "rule a class=1 # x" to "1:8: rule a needs \" : \" between criteria and actions",
        "rule a : once # x" to "1:6: rule a needs class=1 to class=9",
        "rule a : class=10 # x" to "1:16: class=\"10\" must be a whole number from 1 to 9",
        "rule a : class=1 class=2 # x" to "1:18: \"class\" is given twice",
        "rule a statement=read : class=1 age=5 # x" to "1:37: age=\"5\" must be a number and ms, s or min, as in 500ms",
        "rule a statement=write : class=1 age=5s # x" to "1:38: age fits only statement=read",
        "rule a statement=reads : class=1 # x" to "1:18: statement=\"reads\" must be read or write",
        "rule a table=b,Notes : class=1 # x" to "1:16: table=\"Notes\" must be a table name in lower case",
        "rule a database=*-1 : class=1 # x" to "1:17: database=\"*-1\" must be a name, or a prefix and a star",
        "rule a customer=b : class=1 # x" to "1:17: customer b has no customer line",
        "rule a : class=1 once repeatable # x" to "1:18: rule a says both once and repeatable",
        "rule a statement=read marker=b : class=1 open # x" to
            "1:42: an open rule needs statement=read and table=..., because anyone can send its marker",
        "rule a : class=1 # x\nrule a table=b : class=1 # x" to "2:6: rule a is defined twice",
        "rule a : class=1 # x\nrule b : class=2 # x" to "2:6: rule b never matches: a on line 1 covers it",
        "customer a rate=5 burst=1 # x" to "1:17: rate=\"5\" must be a number above 0 and /s or /min, as in 200/s",
        "customer a rate=0/s burst=1 # x" to "1:17: rate=\"0/s\" must be a number above 0 and /s or /min, as in 200/s",
        "customer a rate=5/s # x" to "1:10: customer a needs burst=...",
        "customer a rate=1/s burst=1 # x\ncustomer a rate=1/s burst=1 # x" to "2:10: customer a is defined twice",
        "customer # x" to "1:1: customer needs a name of letters, digits, dots, dashes and underscores",
    ).map { (text, finding) ->
        DynamicTest.dynamicTest(text) { assertEquals(listOf("f:$finding"), findings(text)) }
    }

    @Test
    fun `the finding about an unknown word lists the known ones`() {
        val expected = "f:1:8: unknown word \"tables\" in the criteria of rule a, " +
            "expected one of database, statement, table, customer, marker"

        assertEquals(listOf(expected), findings("rule a tables=b : class=1 # x"))
    }

    @Test
    fun `reports every defect of every line at once`() {
        val text = "rule a : class=x age=y # x\r\n\n# comment\ncustomer b rate=1 burst=0\n"

        assertEquals(
            listOf("1:16", "1:22", "4:17", "4:25", "4:26"),
            findings(text).map {
                it.split(':').slice(1..2).joinToString(":")
            },
        )
    }

    @Test
    fun `parses customer limits and converts rates to statements per second`() {
        val ruleSet = parse("customer a rate=90/min burst=3 weight=2 # x\ncustomer b rate=0.5/s burst=1 # x")

        assertEquals(
            CustomerLimit(CustomerId("a"), ratePerSecond = 1.5, burst = 3.0, weight = 2),
            ruleSet.limits[CustomerId("a")],
        )
        assertEquals(
            CustomerLimit(CustomerId("b"), ratePerSecond = 0.5, burst = 1.0, weight = 1),
            ruleSet.limits[CustomerId("b")],
        )
    }

    @Test
    fun `parses the criteria, actions and requester of a rule`() {
        val rule = parse(
            "rule a database=o-* statement=read table=b,c : class=3 age=2min repeatable # Ana Kos",
        ).rules.single()

        assertEquals(listOf("b", "c"), rule.tables.toList())
        assertEquals(
            listOf(3, 120_000L, true, "Ana Kos"),
            listOf(rule.priorityClass, rule.maxAgeMillis, rule.repeatable, rule.requester),
        )
    }

    private fun parse(text: String) = RuleSet.parse("f", text).getOrElse { fail(it.joinToString("\n")) }

    private fun findings(text: String): List<String> =
        RuleSet.parse("f", text).fold({ findings -> findings.map { it.toString() } }, { emptyList() })
}
