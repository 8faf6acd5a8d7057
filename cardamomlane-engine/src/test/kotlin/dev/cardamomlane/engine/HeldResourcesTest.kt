package dev.cardamomlane.engine

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.engine.session.CallerSession
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.Statement
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * What an operation holds is given back in time, whoever stops answering. The route's timeout is a second here, and each
 * host may open five connections to a target.
 */
class HeldResourcesTest {
    private val fixture = HostFixture(hostCount = 2, maxConnections = 12)
    private val caller = FakeCaller()
    private val primary = fixture.targets.target("p")
    private val read = Statement.Run(Access.READ, "READ 1")
    private val write = Statement.Run(Access.WRITE, "WRITE 1 x")

    /** The host that runs the operations of the fixture's customer. */
    private val serving = servingHost()
    private val other = fixture.hosts.first { it !== serving }
    private val group = serving.group(DatabaseId("g"))!!

    /** The connections over which hosts ask targets for their state are of another customer. */
    private fun servingHost(): ProxyHost {
        val configuration = fixture.configuration(version = 2, customers = mapOf("first" to "desk", "key" to "press"))
        fixture.hosts.forEach { it.configure(configuration) }
        fixture.hosts.forEach { host -> FakeCaller().let { fixture.ask(open(host, it), it, write) } }
        return fixture.hosts[fixture.links.requestCounts.keys.single().last().digitToInt()]
    }

    private fun open(host: ProxyHost, caller: FakeCaller, database: String = "latest"): CallerSession =
        host.openSession(caller, database, "key")

    private fun assertNothingHeld() = assertEquals(emptyList(), fixture.held())

    /** Keeps the answers of all callers' statements that the target runs, without an end of its connections. */
    private fun FakeTarget.losesAnswers() {
        lostAnswers = Int.MAX_VALUE
    }

    @Test
    fun `what an operation holds is counted on both of its hosts, with its age`() {
        primary.losesAnswers()
        open(other, caller).onStatement("w", write)
        fixture.timers.advance(300)

        assertEquals(1, other.held(HeldKind.REMOTE_OPERATION).count)
        assertEquals(1, serving.held(HeldKind.FORWARDED_OPERATION).count)
        assertEquals(1, serving.held(HeldKind.TARGET_CONNECTION).count)
        assertTrue(serving.held(HeldKind.TARGET_CONNECTION).oldestMillis in 250..300)
        assertEquals(Held(0, 0), other.held(HeldKind.TARGET_CONNECTION))
    }

    @Test
    fun `a statement that waits for a target is counted`() {
        primary.isSilent = true
        group.targets.forEach { it.closeAll() }
        open(serving, caller).onStatement("w", write)
        fixture.timers.advance(50)

        assertEquals(1, serving.held(HeldKind.QUEUE_PLACE).count)
        fixture.timers.advance(2_000)
        assertNothingHeld()
    }

    /** Guards against a read that another target served, whose first target keeps a connection and a slot for good. */
    @Test
    fun `a hedged read whose first target never answers gives back its connection and its slot`() {
        fixture.replicate()
        val reader = open(serving, caller, "bounded")
        listOf("r1", "r2").forEach { fixture.targets.target(it).losesAnswers() }

        repeat(12) { assertNull(fixture.ask(reader, caller, read, millis = 400)?.error) }
        fixture.timers.advance(1_000)

        assertNothingHeld()
    }

    /** Guards against a new primary that a host can't use, since reads of before hold all of its connections there. */
    @Test
    fun `replicas that lost answers to reads serve writes once one is primary`() {
        val replicas = listOf("r1", "r2").map(fixture.targets::target)
        fixture.replicate()
        replicas.forEach { it.losesAnswers() }
        val readers = List(12) { FakeCaller() }
        val sessions = readers.map { open(serving, it, "bounded") }
        repeat(10) {
            sessions.forEach { it.onStatement("r", read) }
            fixture.timers.advance(800)
        }
        assertTrue(replicas.all { it.ran.size >= 5 }, "too few reads at the replicas")
        assertEquals(120, readers.sumOf { it.answers.count { answer -> answer.error == null } })

        replicas.forEach { it.lostAnswers = 0 }
        primary.isDown = true
        primary.isSilent = true
        fixture.targets.links.filter { it.target === primary }.forEach { it.disconnect() }
        fixture.timers.advance(8_000)

        assertTrue(fixture.promotions.isNotEmpty())
        assertNull(fixture.ask(open(serving, caller), caller, write, millis = 1_200)!!.error)
    }

    @Test
    fun `a read that no target answers gives back everything`() {
        fixture.replicate()
        listOf("p", "r1", "r2").forEach { fixture.targets.target(it).losesAnswers() }
        open(serving, caller, "bounded").onStatement("r", read)
        fixture.timers.advance(1_200)

        assertEquals(1, caller.answers.size)
        assertNothingHeld()
    }

    @Test
    fun `a read whose caller leaves gives back everything, also at another host`() {
        fixture.replicate()
        listOf("p", "r1", "r2").forEach { fixture.targets.target(it).losesAnswers() }
        for (host in listOf(serving, other)) {
            val session = open(host, FakeCaller(), "bounded")
            session.onStatement("r", read)
            fixture.timers.advance(400)
            host.closeSession(session)
        }
        fixture.timers.advance(1_200)

        assertNothingHeld()
    }

    @Test
    fun `a write without an answer gives back everything`() {
        primary.losesAnswers()
        open(other, caller).onStatement("w", write)
        fixture.timers.advance(1_200)

        assertEquals(1, caller.answers.size)
        assertNothingHeld()
    }

    @Test
    fun `a statement whose session values a target does not acknowledge gives back everything`() {
        val session = open(serving, caller)
        fixture.ask(session, caller, Statement.SetValue("a", "b"))
        primary.isSilent = true
        session.onStatement("w", write)
        fixture.timers.advance(1_200)

        assertEquals(2, caller.answers.size)
        assertNothingHeld()
    }

    @Test
    fun `a transaction without an answer to any of its steps gives back everything`() {
        for (host in fixture.hosts) {
            for (silentFrom in 0..3) {
                primary.isSilent = false
                fixture.timers.advance(1_000)
                val session = open(host, FakeCaller())
                val steps = listOf(Statement.Begin(isReadOnly = false), write, read, Statement.Commit)
                steps.forEachIndexed { index, step ->
                    if (index == silentFrom) primary.isSilent = true
                    session.onStatement("s$index", step)
                    fixture.timers.advance(100)
                }
                fixture.timers.advance(1_200)
                host.closeSession(session)
                fixture.timers.advance(1_200)

                assertNothingHeld()
            }
        }
    }

    @Test
    fun `a transaction whose caller says nothing more gives back its connection, also at another host`() {
        for (host in fixture.hosts) {
            val session = open(host, FakeCaller())
            session.onStatement("b", Statement.Begin(isReadOnly = false))
            session.onStatement("w", write)
            fixture.timers.advance(200)
            assertEquals(1, serving.held(HeldKind.TARGET_CONNECTION).count)
            fixture.timers.advance(3_200)

            assertEquals(0, serving.held(HeldKind.TARGET_CONNECTION).count)
        }
    }

    /** Guards against an operation that is kept for a host that is gone. */
    @Test
    fun `operations of a host that is gone give back their connections`() {
        val session = open(other, caller)
        session.onStatement("b", Statement.Begin(isReadOnly = false))
        session.onStatement("w", write)
        fixture.timers.advance(200)
        fixture.partitionedHosts += "host-${fixture.hosts.indexOf(other)}"
        fixture.timers.advance(3_200)

        assertEquals(Held(0, 0), serving.held(HeldKind.TARGET_CONNECTION))
    }

    @Test
    fun `a target that accepts no connection in time holds no place`() {
        primary.isSilent = true
        group.targets.forEach { it.closeAll() }
        open(other, caller).onStatement("w", write)
        fixture.timers.advance(2_000)

        assertEquals(1, caller.answers.size)
        assertNothingHeld()
    }

    @Test
    fun `a status query without an answer gives back its connection`() {
        primary.isSilent = true
        var outcome = "none"
        group.primary!!.status("desk") { status, _ -> outcome = "$status" }
        fixture.timers.advance(600)

        assertEquals("null", outcome)
        assertNothingHeld()
    }
}
