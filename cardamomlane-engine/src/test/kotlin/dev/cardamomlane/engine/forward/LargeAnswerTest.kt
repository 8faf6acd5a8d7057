package dev.cardamomlane.engine.forward

import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.TargetStatement
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Answers whose rows exceed the longest message between hosts. */
class LargeAnswerTest {
    private val fixture = HostFixture(hostCount = HOSTS, settleMillis = 3_000)
    private val primary = fixture.targets.target("p")
    private val members = fixture.store.seats.map { it.member.name }.toSet()
    private val forwarder = fixture.hosts.indices.first { "host-$it" !in members }
    private val caller = FakeCaller()
    private val read = Statement.Run(Access.READ, "READ 1")

    /** Guards against an answer that ends the connection between two hosts, and with it every operation on it. */
    @Test
    fun `a large answer arrives whole and leaves other operations alone`() {
        val rows = List(ROWS) { index -> "$index " + "\u00ff".repeat(ROW_CHARACTERS) }
        primary.rowsOf = { if (it is TargetStatement.Run && it.text == read.text) rows else emptyList() }
        val other = FakeCaller()
        val otherSession = fixture.open(other, host = forwarder)
        assertNull(fixture.ask(otherSession, other, Statement.Run(Access.WRITE, "WRITE 2 y"))?.error)
        primary.durationMillis = { if (it is TargetStatement.Run && it.text == "WRITE 1 x") 50 else 5 }
        otherSession.onStatement("w", Statement.Run(Access.WRITE, "WRITE 1 x"))

        val answer = fixture.ask(fixture.open(caller, host = forwarder), caller, read)

        assertNull(answer?.error)
        assertEquals(rows, answer?.rows)
        assertEquals(read.text, fixture.targets.textOf(answer?.digest))
        assertNull(other.answers.last().error)
        assertEquals(listOf("WRITE 2 y", "WRITE 1 x"), primary.log)
    }

    /** Guards against rows of one operation in the answer to another one, or to its next step. */
    @Test
    fun `large answers to operations and steps at the same time keep their rows`() {
        primary.rowsOf = { statement ->
            if (statement is TargetStatement.Run) {
                List(ROWS) {
                    "${statement.text} $it" + "x".repeat(ROW_CHARACTERS)
                }
            } else {
                emptyList()
            }
        }
        val callers = List(3) { FakeCaller() }
        val sessions = callers.map { fixture.open(it, host = forwarder) }
        sessions.forEach { it.onStatement("b", Statement.Begin(isReadOnly = true)) }
        fixture.timers.advance(50)

        repeat(2) { step ->
            sessions.forEachIndexed { index, session ->
                session.onStatement("$step", Statement.Run(Access.READ, "READ $index$step"))
            }
            fixture.timers.advance(100)
        }

        callers.forEachIndexed { index, each ->
            val answers = each.answers.drop(1)
            assertEquals(2, answers.size)
            answers.forEachIndexed { step, answer ->
                assertEquals(ROWS, answer.rows.size)
                assertTrue(answer.rows.withIndex().all { (row, text) -> text.startsWith("READ $index$step ${row}x") })
            }
        }
    }

    /** Guards against many short rows whose encoding is much longer than their text. */
    @Test
    fun `an answer of very many short rows arrives whole`() {
        primary.rowsOf = { if (it is TargetStatement.Run) List(SHORT_ROWS) { "\u00ff" } else emptyList() }

        val answer = fixture.ask(fixture.open(caller, host = forwarder), caller, read)

        assertEquals(SHORT_ROWS, answer?.rows?.size)
    }

    private companion object {
        const val HOSTS = 12
        const val ROWS = 10
        const val ROW_CHARACTERS = 1_000_000
        const val SHORT_ROWS = 3_000_000
    }
}
