package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The line protocol of a target. */
class TargetSessionTest {
    private val fixture = GroupFixture()

    private fun open(target: LaneTarget = fixture.a) = fixture.session(target).apply {
        fixture.timers.advance(100)
        received()
    }

    @Test
    fun `a new connection is ready once it has held a slot`() {
        val session = fixture.session(fixture.a)
        fixture.timers.advance(11)
        assertEquals("", session.received())
        fixture.timers.advance(1)
        assertEquals("READY I 1.0", session.received())
    }

    @Test
    fun `another group or target is refused`() {
        listOf("START other club", "START archive club b", "HELLO").forEach { line ->
            val session = fixture.session(fixture.a, line)
            assertEquals("ERR ${PlatformWords.WRONG_TARGET} a", session.received())
            assertTrue(session.isClosed)
        }
    }

    @Test
    fun `a connection beyond the limit is refused until another one ends`() {
        val fixture = GroupFixture(GroupSettings("archive", maxConnections = 1))
        val first = fixture.session(fixture.a)
        assertEquals("ERR ${PlatformWords.TOO_MANY_CONNECTIONS} a", fixture.session(fixture.a).received())
        first.disconnect()
        assertEquals("", fixture.session(fixture.a).received())
    }

    @Test
    fun `a write is committed as the next number and read again`() {
        val session = open()
        assertEquals("DONE a.1/READY I 1.1", session.run("WRITE 1a red"))
        assertEquals("DONE a.2/READY I 1.2", session.run("WRITE 1a dark blue"))
        assertEquals("ROW dark blue/DONE a.3/READY I 1.2", session.run("READ 1a"))
    }

    @Test
    fun `a statement holds its slot before it is answered`() {
        val session = open()
        session.send("QUERY id READ 1a")
        fixture.timers.advance(10)
        assertEquals("", session.received())
        fixture.timers.advance(1)
        assertEquals("ROW -/DONE a.1/READY I 1.0", session.received())
    }

    @Test
    fun `statements beyond the slots wait and those beyond the queue are busy`() {
        val fixture = GroupFixture(GroupSettings("archive", slotCount = 1, maxWaiting = 1))
        val sessions = List(3) { fixture.session(fixture.a).apply { fixture.timers.advance(100) } }
        sessions.forEach(SessionFixture::received)
        sessions.forEach { it.send("QUERY id READ 1a") }
        assertEquals("ERR BUSY a/READY I 1.0", sessions[2].received())
        fixture.timers.advance(11)
        assertEquals("ROW -/DONE a.1/READY I 1.0", sessions[0].received())
        assertEquals("", sessions[1].received())
        fixture.timers.advance(11)
        assertEquals("ROW -/DONE a.2/READY I 1.0", sessions[1].received())
    }

    @Test
    fun `a transaction sees its own writes and commits them as one`() {
        val session = open()
        assertEquals("DONE -/READY T 1.0", session.run("BEGIN"))
        assertEquals("DONE a.1/READY T 1.0", session.run("WRITE 1a red"))
        assertEquals("DONE a.2/READY T 1.0", session.run("WRITE 2a blue"))
        assertEquals("ROW red/DONE a.3/READY T 1.0", session.run("READ 1a"))
        assertEquals("ROW -/DONE a.1/READY I 1.0".replace("a.1", "a.4"), open().run("READ 1a"))
        assertEquals("DONE a.5/READY I 1.1", session.run("COMMIT"))
        assertEquals("ROW blue/DONE a.6/READY I 1.1", session.run("READ 2a"))
    }

    @Test
    fun `a rollback and a closed connection leave nothing`() {
        listOf<
            (
                SessionFixture,
            ) -> Unit,
            >({ it.run("ROLLBACK") }, { it.disconnect() }, { it.send("QUIT") }).forEach { end ->
            val session = open()
            session.run("BEGIN")
            session.run("WRITE 1a red")
            end(session)
            assertEquals(0, fixture.a.log.size)
        }
    }

    @Test
    fun `a statement whose connection ends while it waits for its slot is not committed`() {
        val session = open()
        session.send("QUERY id WRITE 1a red")
        session.disconnect()
        fixture.timers.advance(100)
        assertEquals(0, fixture.a.log.size)
    }

    @Test
    fun `a replica refuses writes and plain transactions`() {
        val session = open(fixture.b)
        val refused = "ERR ${PlatformWords.READ_ONLY} b/READY I 1.0"
        assertEquals(refused, session.run("WRITE 1a red"))
        assertEquals(refused, session.run("BEGIN"))
        assertEquals("DONE -/READY T 1.0", session.run("BEGIN READ"))
    }

    @Test
    fun `a replica lags behind until it has applied the position`() {
        fixture.b.lagMillis = 5_000
        open().run("WRITE 1a red")
        val session = open(fixture.b)
        assertEquals("ERR LAGGING b/READY I 1.0", session.run("AFTER 1.1 READ 1a"))
        assertEquals("ERR LAGGING b/READY I 1.0", session.run("AFTER 1.1 BEGIN READ"))
        assertEquals("ROW -/DONE b.1/READY I 1.0", session.run("READ 1a"))
        fixture.timers.advance(5_000)
        assertEquals("ROW red/DONE b.2/READY I 1.1", session.run("AFTER 1.1 READ 1a"))
    }

    @Test
    fun `prepared statements run until they are closed or reset`() {
        val session = open()
        session.run("PREPARE r READ q1")
        session.run("PREPARE w WRITE q2")
        assertEquals("DONE a.1/READY I 1.1", session.run("EXEC w 1a red"))
        assertEquals("ROW red/DONE a.2/READY I 1.1", session.run("EXEC r 1a"))
        assertEquals("DONE -/READY I 1.1", session.run("CLOSE r"))
        assertEquals("ERR ${PlatformWords.UNKNOWN_STATEMENT} a/READY I 1.1", session.run("EXEC r 1a"))
        session.run("RESET")
        assertEquals("ERR ${PlatformWords.UNKNOWN_STATEMENT} a/READY I 1.1", session.run("EXEC w 1a red"))
    }

    @Test
    fun `a transaction that lost the lead fails and can only be ended`() {
        val session = open()
        session.run("BEGIN")
        session.run("WRITE 1a red")
        fixture.group.demote(fixture.a, term = 2)
        assertEquals("ERR ${PlatformWords.READ_ONLY} a/READY E 1.0", session.run("WRITE 2a blue"))
        assertEquals("ERR MALFORMED a/READY E 1.0", session.run("READ 1a"))
        assertEquals("DONE -/READY I 1.0", session.run("ROLLBACK"))
    }

    @Test
    fun `a commit that lost the lead is refused unless it wrote nothing`() {
        val writer = open().apply { run("BEGIN") }
        val reader = open().apply { run("BEGIN") }
        writer.run("WRITE 1a red")
        fixture.group.demote(fixture.a, term = 2)
        assertEquals("ERR ${PlatformWords.READ_ONLY} a/READY I 1.0", writer.run("COMMIT"))
        assertEquals("DONE a.2/READY I 1.0", reader.run("COMMIT"))
    }

    @Test
    fun `a lost answer closes the connection of a statement that ran`() {
        val session = open()
        fixture.a.loseAnswers(1)
        assertEquals("", session.run("WRITE 1a red"))
        assertTrue(session.isClosed)
        assertEquals(1, fixture.a.log.size)
    }

    @Test
    fun `the status names role, term, received position, held term, lag, load and connections`() {
        open().run("WRITE 1a red")
        assertEquals("ROW primary 1 1.1 0 0 0 2/DONE -/READY I 1.1", open().run("STATUS", id = "-"))
        assertEquals("ROW replica 1 1.1 0 8 0 1/DONE -/READY I 1.1", open(fixture.b).run("STATUS", id = "-"))
        assertEquals("ROW replica 1 1.1 5 8 0 1/DONE -/READY I 1.1", open(fixture.c).run("PAUSE 5", id = "-"))
    }

    @Test
    fun `only statements of callers count as begun`() {
        val session = open()
        session.run("STATUS", id = "-")
        session.run("READ 1a", id = "77")
        assertTrue(fixture.history.hasBegun("77"))
        assertEquals(false, fixture.history.hasBegun("-"))
    }

    @Test
    fun `text that is no statement is malformed`() {
        val session = open()
        listOf("DANCE", "READ", "AFTER x READ 1a", "DEMOTE x").forEach {
            assertEquals("ERR MALFORMED a/READY I 1.0", session.run(it))
        }
    }
}
