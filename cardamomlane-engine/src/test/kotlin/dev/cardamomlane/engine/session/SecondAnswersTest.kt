package dev.cardamomlane.engine.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.FakeLink
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.statement.TransactionState
import dev.cardamomlane.engine.target.UncertainAnswer
import dev.cardamomlane.engine.targetEntry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Targets that send an answer a second time, late. */
class SecondAnswersTest {
    private val fixture = HostFixture(entries = listOf(targetEntry("p", isPrimary = true)))
    private val caller = FakeCaller()
    private val primary = fixture.targets.target("p")
    private val session = fixture.open(caller)
    private val sent = ArrayList<SentAnswer>()
    private val links get() = fixture.targets.links

    /** [answer] as the target sent it to [statement]. */
    private class SentAnswer(val link: FakeLink, val statement: TargetStatement, val answer: TargetAnswer) {
        fun repeat(isRebuilt: Boolean = false) = link.repeat(answer, isRebuilt)
    }

    init {
        fixture.targets.onAnswer = { link, statement, answer -> sent += SentAnswer(link, statement, answer) }
    }

    private fun read(item: Int) = Statement.Run(Access.READ, "READ $item")

    private fun write(item: Int) = Statement.Run(Access.WRITE, "WRITE $item x")

    private fun ask(statement: Statement, millis: Long = 100) = fixture.ask(session, caller, statement, millis)

    private fun ran(answer: CallerAnswer?) = fixture.targets.textOf(answer?.digest)

    private fun sentTo(isWanted: (TargetStatement) -> Boolean) = sent.last { isWanted(it.statement) }

    private fun sentTo(text: String) = sentTo { it is TargetStatement.Run && it.text == text }

    /** Guards against a read that is answered with the rows of the read before it. */
    @Test
    fun `an answer that comes again while the next read is under way is not taken for that read's`() {
        for (isRebuilt in listOf(false, true)) {
            ask(read(1))
            session.onStatement("next", read(2))
            fixture.timers.advance(1)
            sentTo("READ 1").repeat(isRebuilt)
            fixture.timers.advance(100)

            assertEquals("READ 2", ran(caller.answers.last()))
            assertEquals("READ 3", ran(ask(read(3))))
        }
    }

    /** Guards against an answer that shifts all later answers of its connection by one statement. */
    @Test
    fun `an answer that comes again several statements later is not taken for another one's`() {
        ask(read(1))
        ask(write(2))
        ask(read(3))
        session.onStatement("next", read(4))
        fixture.timers.advance(1)
        sentTo("READ 1").repeat()
        sentTo("WRITE 2 x").repeat()
        fixture.timers.advance(100)

        assertEquals("READ 4", ran(caller.answers.last()))
        assertEquals("READ 5", ran(ask(read(5))))
        assertEquals(1, primary.log.size)
    }

    /** Guards against targets that send answers twice, or at random, without anybody noticing. */
    @Test
    fun `answers that are not certainly first ones are counted by kind`() {
        ask(read(1))
        sentTo("READ 1").repeat()
        sentTo("READ 1").repeat()
        primary.refusals += listOf(ErrorCode.FAILED, ErrorCode.FAILED)
        ask(read(2))
        ask(read(3))
        sentTo("READ 3").link.repeat(sentTo("READ 1").answer.copy(digest = "of nothing"))
        val counts = UncertainAnswer.entries.map { fixture.hosts[0].uncertainAnswerCount(it) }

        assertEquals(listOf(2L, 1L, 1L, 0L), counts)
    }

    /** Guards against connections that are closed, at a price, whenever a target repeats an answer. */
    @Test
    fun `an idle connection on which an answer comes again stays open`() {
        ask(read(1))
        val before = links.size
        sentTo("READ 1").repeat()
        fixture.timers.advance(50)

        assertEquals("READ 2", ran(ask(read(2))))
        assertEquals(before, links.size)
        assertEquals(sentTo("READ 1").link, sentTo("READ 2").link)
    }

    /** Guards against a transaction that ends because a target repeats an answer between its statements. */
    @Test
    fun `a transaction goes on when an answer comes again between its statements`() {
        ask(Statement.Begin(isReadOnly = false))
        ask(write(1))
        sentTo("WRITE 1 x").repeat()
        sentTo { it is TargetStatement.Begin }.repeat()
        assertEquals("WRITE 2 x", ran(ask(write(2))))
        val answer = ask(Statement.Commit)

        assertEquals("COMMIT", ran(answer))
        assertEquals(listOf("WRITE 1 x", "WRITE 2 x"), primary.log)
    }

    /** Guards against a caller that is told that its write has no effect although the target made it. */
    @Test
    fun `a write that ran is not told to be refused because an earlier refusal comes again`() {
        for (isRebuilt in listOf(false, true)) {
            ask(read(1))
            primary.refusals += ErrorCode.BUSY
            ask(read(2))
            val refusal = sent.last { it.answer.error != null }
            session.onStatement("w", write(3))
            fixture.timers.advance(1)
            links.forEach { link -> if (link === refusal.link) refusal.repeat(isRebuilt) }
            fixture.timers.advance(100)

            val answer = caller.answers.last()
            val isKept = primary.log.isNotEmpty()
            assertTrue(!isKept || answer.error?.code?.isNotRun != true, "told ${answer.error} although it was kept")
            assertEquals(primary.log.distinct(), primary.log)
            primary.log.clear()
        }
    }

    /** Guards against a commit that is answered as not made although the target made it. */
    @Test
    fun `a commit of writes has an unknown outcome when an earlier error of its connection comes again`() {
        ask(Statement.Begin(isReadOnly = false))
        ask(write(1))
        primary.refusals += ErrorCode.FAILED
        ask(read(2))
        val failure = sent.last { it.answer.error != null }
        session.onStatement("c", Statement.Commit)
        fixture.timers.advance(1)
        failure.repeat()
        fixture.timers.advance(100)

        assertEquals(ErrorCode.OUTCOME_UNKNOWN, caller.answers.last().error?.code)
    }

    /** Sends [statement] while the target refuses its transaction's begin, and the answer to an earlier begin comes again. */
    private fun sendBehindDoubtfulBegin(isReadOnly: Boolean, statement: Statement) {
        ask(Statement.Begin(isReadOnly))
        ask(read(1))
        ask(Statement.Commit)
        val begun = sentTo { it is TargetStatement.Begin }
        primary.refuses = { if (it is TargetStatement.Begin) ErrorCode.BUSY else null }
        ask(Statement.Begin(isReadOnly), millis = 1)
        session.onStatement("behind", statement)
        fixture.timers.advance(1)
        begun.repeat()
        fixture.timers.advance(8)
    }

    /** Guards against a write that is committed on its own, outside the transaction that its caller rolls back. */
    @Test
    fun `a write waits for a begin that certainly succeeded`() {
        sendBehindDoubtfulBegin(isReadOnly = false, statement = write(2))
        primary.refuses = { null }
        fixture.timers.advance(200)

        assertEquals(emptyList(), primary.log)
        assertNull(caller.answers.last().error)
        assertEquals("COMMIT", ran(ask(Statement.Commit)))
        assertEquals(listOf("WRITE 2 x"), primary.log)
    }

    /** Guards against a read outside its transaction, at a target that may lack the commits which its begin asked for. */
    @Test
    fun `a read waits for a begin that certainly succeeded`() {
        sendBehindDoubtfulBegin(isReadOnly = true, statement = read(2))
        assertEquals(listOf("READ 1", "COMMIT"), primary.ran)
        primary.refuses = { null }
        fixture.timers.advance(200)

        assertEquals("READ 2", ran(caller.answers.last()))
        assertEquals(TransactionState.OPEN, caller.answers.last().state)
    }

    /** Guards against a read that ran outside its transaction after the target had ended that by itself. */
    @Test
    fun `a statement whose answer shows no open transaction aborts it`() {
        ask(Statement.Begin(isReadOnly = true))
        ask(read(1))
        links.last { it.isInTransaction }.endTransaction()

        assertEquals(ErrorCode.ABORTED, ask(read(2))?.error?.code)
    }

    /** Guards against a transaction that begins inside another one, whose rollback the target has not run yet. */
    @Test
    fun `a connection is not used again after a rollback that may not have run`() {
        ask(Statement.SetValue("a", "1"))
        ask(Statement.Begin(isReadOnly = true))
        ask(read(1))
        val link = links.last { it.isInTransaction }
        ask(Statement.Rollback)

        assertTrue(link.isClosedByHost)
        assertEquals("READ 2", ran(ask(read(2))))
    }

    /** Guards against a read that is answered with the success of the host's own statement before it. */
    @Test
    fun `the second answer to a session value is not taken for the read's`() {
        ask(Statement.SetValue("a", "1"))
        ask(read(0))
        val set = sentTo { it is TargetStatement.SetValue }
        ask(Statement.SetValue("a", "2"))
        session.onStatement("r", read(1))
        fixture.timers.advance(1)
        set.repeat()
        fixture.timers.advance(100)

        assertEquals("READ 1", ran(caller.answers.last()))
        assertEquals("READ 2", ran(ask(read(2))))
    }

    /** Guards against reads that are taken for fresh by a position which the primary had before the query. */
    @Test
    fun `a position that comes again is not taken for the answer to a status query`() {
        val target = assertNotNull(fixture.hosts[0].group(DatabaseId("g"))?.primary)
        target.status("press") { _, _ -> }
        fixture.timers.advance(100)
        val status = sentTo { it is TargetStatement.Status }
        primary.position = LogPosition(1, 9)
        var received: LogPosition? = null
        target.status("press") { found, _ -> received = found?.received }
        fixture.timers.advance(1)
        status.repeat()
        fixture.timers.advance(100)

        assertEquals(LogPosition(1, 9), received)
    }

    /** Guards against a connection that is used on although it does not follow the protocol. */
    @Test
    fun `a success without a digest that answers nothing closes the connection`() {
        session.onStatement("r", read(1))
        fixture.timers.advance(4)
        val link = links.last { link -> link.sent.any { it is TargetStatement.Run } }
        link.repeat(TargetAnswer(emptyList(), null, null, TransactionState.IDLE, null))
        fixture.timers.advance(100)

        assertEquals("READ 1", ran(caller.answers.last()))
        assertNotEquals(link, sentTo("READ 1").link)
    }

    /** Guards against an unknown outcome, for which callers give up, where a commit has no effect anyway. */
    @Test
    fun `a commit without writes is aborted when an earlier error of its connection comes again`() {
        ask(Statement.Begin(isReadOnly = false))
        primary.refusals += ErrorCode.FAILED
        ask(read(1))
        session.onStatement("c", Statement.Commit)
        fixture.timers.advance(1)
        sent.last { it.answer.error != null }.repeat()
        fixture.timers.advance(100)

        assertEquals(ErrorCode.ABORTED, caller.answers.last().error?.code)
    }

    /** Guards against writes of unknown outcome while targets are busy, though the target says that it ran nothing. */
    @Test
    fun `a write that is refused twice runs on connections without an earlier error`() {
        primary.refusals += listOf(ErrorCode.BUSY, ErrorCode.BUSY, ErrorCode.BUSY)

        assertEquals("WRITE 1 x", ran(ask(write(1), millis = 400)))
        assertEquals(listOf("WRITE 1 x"), primary.log)
    }

    /** Guards against a connection that never gets its answer when what it remembers of earlier ones is dropped. */
    @Test
    fun `a connection is replaced before it has had too many answers to remember`() {
        repeat(1_500) { ask(read(it), millis = 10) }
        val counts = links.map { link -> link.sent.count { it is TargetStatement.Run } }

        assertEquals(1_500, caller.answers.count { it.error == null })
        assertEquals(listOf(1_000, 500), counts.filter { it > 0 })
    }
}
