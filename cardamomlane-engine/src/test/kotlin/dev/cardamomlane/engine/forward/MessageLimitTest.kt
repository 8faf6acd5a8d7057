package dev.cardamomlane.engine.forward

import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.statement.TransactionState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Operations that don't fit into one message between two hosts, which share their connection with other callers'. */
class MessageLimitTest {
    private val fixture = HostFixture(hostCount = HOSTS, settleMillis = 3_000)
    private val primary = fixture.targets.target("p")
    private val members = fixture.store.seats.map { it.member.name }.toSet()
    private val forwarder = fixture.hosts.indices.first { "host-$it" !in members }
    private val caller = FakeCaller()
    private val session = fixture.open(caller, "latest", forwarder)
    private val other = FakeCaller()
    private val otherSession = fixture.open(other, "latest", forwarder)
    private val megabyte = "\u00ff".repeat(1 shl 20)
    private val write = Statement.Run(Access.WRITE, "WRITE 1 x")
    private val largeWrite = Statement.Run(Access.WRITE, "WRITE 3 " + "\u00ff".repeat(1 shl 20))

    private fun startOtherWrite() {
        fixture.ask(otherSession, other, write)
        primary.answersInMillis = 100
        otherSession.onStatement("slow", Statement.Run(Access.WRITE, "WRITE 2 x"))
        fixture.timers.advance(10)
    }

    private fun assertOtherWriteSucceeds() {
        fixture.timers.advance(500)
        assertEquals("slow", other.answers.last().id)
        assertNull(other.answers.last().error)
        assertEquals(1, primary.ran.count { it == "WRITE 2 x" })
    }

    private fun setLargestValues() {
        val answers = List(TOO_MANY) { fixture.ask(session, caller, Statement.SetValue("v$it", megabyte)) }
        assertNull(answers.first()?.error)
        assertEquals(ErrorCode.TOO_LARGE, answers.last()?.error?.code)
    }

    /** Guards against callers whose operations are lost because another one's statement ends the connection. */
    @Test
    fun `a large statement with the largest session values leaves other operations alone`() {
        setLargestValues()
        startOtherWrite()

        session.onStatement("large", largeWrite)
        assertOtherWriteSucceeds()

        assertNull(caller.answers.last().error)
        assertEquals(1, primary.ran.count { it == largeWrite.text })
    }

    /** Guards against a transaction that is lost because the values that were set in it don't fit beside a statement. */
    @Test
    fun `a large step of a transaction with the largest session values runs`() {
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)
        setLargestValues()

        val answer = fixture.ask(session, caller, largeWrite)

        assertNull(answer?.error)
        assertEquals(TransactionState.OPEN, answer?.state)
        assertEquals(listOf(write.text, largeWrite.text), primary.ran)
    }

    /** Guards against callers whose operations are lost because the rows of another one's answer end the connection. */
    @Test
    fun `an answer with more rows than a message holds arrives whole and alone`() {
        startOtherWrite()
        primary.rowsOf =
            { if ((it as? TargetStatement.Run)?.text == "READ 1") List(TOO_MANY) { megabyte } else emptyList() }

        session.onStatement("r", Statement.Run(Access.READ, "READ 1"))
        fixture.timers.advance(200)

        assertEquals(List(TOO_MANY) { megabyte }, caller.answers.last().rows)
        assertNull(caller.answers.last().error)
        assertEquals(1, primary.ran.count { it == "READ 1" })
        assertOtherWriteSucceeds()
    }

    private companion object {
        const val HOSTS = 14
        const val TOO_MANY = 9
    }
}
