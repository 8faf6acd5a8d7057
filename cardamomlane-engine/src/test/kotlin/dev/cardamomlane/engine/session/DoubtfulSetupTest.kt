package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.FakeLink
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.targetEntry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Targets that refuse a statement of the host after a second answer was taken for its success. */
class DoubtfulSetupTest {
    private val fixture = HostFixture(entries = listOf(targetEntry("p", isPrimary = true)))
    private val caller = FakeCaller()
    private val primary = fixture.targets.target("p")
    private val session = fixture.open(caller)
    private val sent = ArrayList<Triple<FakeLink, TargetStatement, TargetAnswer>>()

    init {
        fixture.targets.onAnswer = { link, statement, answer -> sent += Triple(link, statement, answer) }
    }

    private fun ask(statement: Statement, millis: Long = 100) = fixture.ask(session, caller, statement, millis)

    private fun read(item: Int) = Statement.Run(Access.READ, "READ $item")

    /** Guards against a read that a target runs outside its transaction: the close comes after the target has read it. */
    @Test
    fun `a read is not sent to a target that has refused to begin its transaction`() {
        ask(Statement.Begin(isReadOnly = true))
        ask(read(1))
        ask(Statement.Commit)
        val (link, _, begun) = sent.last { it.second is TargetStatement.Begin }
        primary.refuses = { if (it is TargetStatement.Begin) ErrorCode.LAGGING else null }
        ask(Statement.Begin(isReadOnly = true), millis = 1)
        session.onStatement("r", read(2))
        fixture.timers.advance(1)
        link.repeat(begun)
        fixture.timers.advance(100)

        val refused = sent.filter { it.second is TargetStatement.Begin && it.third.error != null }.map { it.first }
        assertTrue(refused.isNotEmpty())
        val readsBehind = refused.count { target ->
            target.sent.any { it is TargetStatement.Run && it.text == "READ 2" }
        }
        assertEquals(0, readsBehind, "reads sent behind a refused begin")
    }

    /** Guards against a write that is made twice, since the refusal of a session value was taken for its own. */
    @Test
    fun `a write is not made again when the refusal is that of a session value`() {
        ask(Statement.SetValue("a", "1"))
        ask(read(1))
        val (link, _, answer) = sent.last { it.second is TargetStatement.SetValue }
        ask(Statement.SetValue("a", "2"))
        primary.refuses = { if (it is TargetStatement.SetValue) ErrorCode.BUSY else null }
        session.onStatement("w", Statement.Run(Access.WRITE, "WRITE 2 x"))
        fixture.timers.advance(1)
        link.repeat(answer)
        fixture.timers.advance(8)
        primary.refuses = { null }
        fixture.timers.advance(400)

        val writesSent = fixture.targets.links
            .sumOf { l -> l.sent.count { it is TargetStatement.Run && it.text == "WRITE 2 x" } }
        assertEquals(1, writesSent, "log ${primary.log}, told ${caller.answers.last()}")
    }
}
