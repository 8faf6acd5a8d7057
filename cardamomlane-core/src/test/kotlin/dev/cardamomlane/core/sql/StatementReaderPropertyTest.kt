package dev.cardamomlane.core.sql

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StatementReaderPropertyTest {
    @Property(tries = 2000, seed = "20261204")
    fun `reading any text throws no exception`(@ForAll("texts") text: String) {
        val facts = StatementReader.read(text)

        assertEquals(facts.kind == StatementKind.UNSUPPORTED, facts.unsupportedReason != null)
        assertEquals(facts.kind == StatementKind.EMPTY, facts.count == 0)
    }

    @Property(tries = 500, seed = "20261204")
    fun `tokens cover the text from left to right`(@ForAll("texts") text: String) {
        val lexer = SqlLexer(text)
        var end = 0
        generateSequence(lexer::next).forEach { token ->
            assertTrue(token.start >= end && token.end > token.start, "token at ${token.start} after $end")
            end = token.end
        }
        assertTrue(end <= text.length)
    }

    @Provide
    fun texts(): Arbitrary<String> = Arbitraries.of(PIECES).list().ofMaxSize(25).map { it.joinToString("") }

    private companion object {
        val PIECES =
            listOf(
                "SELECT ", "FROM ", "WITH ", "AS ", "INSERT INTO ", "BEGIN", "COMMIT", "SET ", "TO ", "EXPLAIN ",
                "a", "b.", "\"", "'",
                "E'", "\\", "$", "\$x$", "/*", "*/", "--", "\n", " ", ";", "(", ")", ",", "1.", "é",
                "\u0000", "\uD83D", "USING ", "JOIN ",
            )
    }
}
