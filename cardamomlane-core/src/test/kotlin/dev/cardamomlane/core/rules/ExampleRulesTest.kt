package dev.cardamomlane.core.rules

import arrow.core.getOrElse
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.sql.StatementReader
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.test.assertEquals
import kotlin.test.fail

class ExampleRulesTest {
    @ParameterizedTest
    @CsvSource(
        "press,orders-1",
        "press,catalogue-1",
        "press,proofs-1",
        "guild,drafts-1",
        "guild,reviews-1",
        "guild,approved-1",
    )
    fun `every database has a repeatable read rule and a non-repeatable write rule for notes`(
        name: String,
        database: String,
    ) {
        val ruleSet = parse(name)
        val customer = ruleSet.limits.keys.first()
        val read = ruleSet.decide(DatabaseId(database), customer, StatementReader.read("SELECT * FROM notes"))
        val write = ruleSet.decide(DatabaseId(database), customer, StatementReader.read("DELETE FROM notes"))

        assertEquals(listOf("notes-read", "notes-write"), listOf(read.ruleName, write.ruleName))
        assertEquals(listOf(true, false), listOf(read.repeatable, write.repeatable))
    }

    @ParameterizedTest
    @CsvSource("press", "guild")
    fun `each deployment has eight customers`(name: String) {
        assertEquals(8, parse(name).limits.size)
    }

    private fun parse(name: String): RuleSet {
        val file = Path.of("..", "examples", "$name.rules")
        return RuleSet.parse(file.toString(), file.readText()).getOrElse { fail(it.joinToString("\n")) }
    }
}
