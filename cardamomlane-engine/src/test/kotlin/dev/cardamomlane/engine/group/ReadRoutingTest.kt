package dev.cardamomlane.engine.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.TargetStatement
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ReadRoutingTest {
    private val fixture = HostFixture()
    private val caller = FakeCaller()
    private val read = Statement.Run(Access.READ, "READ 1")
    private val write = Statement.Run(Access.WRITE, "WRITE 1 x")

    private fun requiredPositions(): List<LogPosition?> =
        fixture.targets.links.flatMap { it.sent }.filterIsInstance<TargetStatement.Run>()
            .filter { it.text == "READ 1" }.map { it.after }

    @Test
    fun `a read with latest consistency runs at the primary`() {
        fixture.replicate()
        val session = fixture.open(caller, database = "latest")

        fixture.ask(session, caller, read)

        assertEquals(listOf("READ 1"), fixture.targets.target("p").ran)
    }

    @Test
    fun `a read with session consistency runs only where the session's last commit is applied`() {
        val session = fixture.open(caller, database = "session")
        val committed = fixture.ask(session, caller, write)?.position
        assertNotNull(committed)

        val answer = fixture.ask(session, caller, read, millis = 500)

        assertNull(answer?.error)
        assertTrue(requiredPositions().all { it == null || it >= committed })
        assertTrue(fixture.targets.target("r1").ran.isEmpty() && fixture.targets.target("r2").ran.isEmpty())
    }

    /** Guards against a read-only transaction whose target does not check the position that its reads require. */
    @Test
    fun `read-only transactions with session consistency begin only where the session's last commit is applied`() {
        val session = fixture.open(caller, database = "session")
        assertNotNull(fixture.ask(session, caller, write)?.position)

        repeat(10) {
            fixture.ask(session, caller, Statement.Begin(isReadOnly = true), millis = 60)
            fixture.ask(session, caller, read)
            assertNull(fixture.ask(session, caller, Statement.Commit)?.error)
        }

        assertEquals(10, fixture.targets.target("p").ran.count { it == "READ 1" })
        assertTrue(fixture.targets.target("r1").ran.isEmpty() && fixture.targets.target("r2").ran.isEmpty())
    }

    @Test
    fun `reads with bounded consistency prefer replicas that keep up`() {
        val session = fixture.open(caller, database = "bounded")
        fixture.ask(session, caller, Statement.Run(Access.WRITE, "WRITE 1 y"))
        fixture.replicate()
        fixture.timers.advance(500)

        repeat(10) { fixture.ask(session, caller, read) }

        val atReplicas = fixture.targets.target("r1").ran.size + fixture.targets.target("r2").ran.size
        assertTrue(atReplicas >= 9, "$atReplicas of 10 reads ran at replicas")
    }

    @Test
    fun `without proof of the current primary a write is refused and not run`() {
        val session = fixture.open(caller)
        fixture.store.isDown = true
        fixture.timers.advance(3_000)

        val answer = fixture.ask(session, caller, write, millis = 3_000)

        assertEquals(ErrorCode.UNAVAILABLE, answer?.error?.code)
        assertTrue(fixture.targets.target("p").ran.isEmpty())
    }

    @Test
    fun `a burst of reads while every replica lags is refused at once beyond what the primary can run in time`() {
        fixture.targets.target("p").answersInMillis = 300
        val writer = fixture.open(FakeCaller())
        repeat(30) {
            writer.onStatement("w$it", write)
            fixture.timers.advance(310)
        }
        val reader = fixture.open(FakeCaller(), database = "bounded")
        repeat(6) {
            reader.onStatement("r$it", read)
            fixture.timers.advance(340)
        }
        val callers = List(30) { FakeCaller() }
        val sessions = callers.map { fixture.open(it, database = "bounded") }
        writer.onStatement("last", write)
        reader.onStatement("last", read)
        fixture.timers.advance(20)

        sessions.forEach { it.onStatement("burst", read) }
        fixture.timers.advance(5)

        val refusedCount = callers.count { it.answers.lastOrNull()?.error?.code == ErrorCode.BUSY }
        assertTrue(refusedCount >= 12, "$refusedCount of 30 reads refused at once")
        fixture.timers.advance(2_000)
        assertEquals(30, callers.count { it.answers.size == 1 })
    }
}
