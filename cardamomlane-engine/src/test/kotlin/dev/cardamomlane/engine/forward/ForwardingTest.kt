package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.stop.StopTimes
import dev.cardamomlane.engine.ExecutedPlan
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.session.CallerSession
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.PreparedPlan
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.statement.TransactionState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** A fleet of more hosts than seats: the hosts without a seat forward their callers' operations to members. */
class ForwardingTest {
    private val fixture = HostFixture(hostCount = HOSTS, settleMillis = 3_000)
    private val primary = fixture.targets.target("p")
    private val members = fixture.store.seats.map { it.member.name }.toSet()
    private val forwarder = fixture.hosts.indices.first { "host-$it" !in members }
    private val caller = FakeCaller()
    private val read = Statement.Run(Access.READ, "READ 1")
    private val write = Statement.Run(Access.WRITE, "WRITE 1 x")

    private fun open(database: String = "latest", host: Int = forwarder): CallerSession =
        fixture.open(caller, database, host)

    private fun servingHost(): String = fixture.links.requestCounts.maxBy { it.value }.key

    @Test
    fun `nine hosts take seats and every host is ready`() {
        assertEquals(9, members.size)
        assertTrue(fixture.hosts.all { it.isReady })
    }

    /** Guards against a host that waits for its next query although it has just read which members there are. */
    @Test
    fun `a host that starts beside running members serves as soon as it has read their list`() {
        fixture.restart(forwarder)
        fixture.timers.advance(START_MILLIS)

        assertTrue(fixture.hosts[forwarder].isReady)
    }

    @Test
    fun `a host without a seat opens no connection to a target`() {
        val session = open()
        fixture.ask(session, caller, write)

        assertEquals(TransactionState.IDLE, caller.answers.single().state)
        assertEquals("WRITE 1 x", fixture.targets.textOf(caller.answers.single().digest))
        assertNull(fixture.hosts[forwarder].group(DatabaseId("g")))
    }

    @Test
    fun `the callers of one customer at all hosts share one connection`() {
        for (host in fixture.hosts.indices) {
            val each = FakeCaller()
            assertNull(fixture.ask(fixture.open(each, "latest", host), each, write)?.error)
        }

        val customerConnections = fixture.targets.links.filter { link -> link.sent.any { it is TargetStatement.Run } }
        assertEquals(1, customerConnections.size)
    }

    @Test
    fun `session values and prepared statements are set where the statement runs`() {
        val session = open()
        fixture.ask(session, caller, Statement.SetValue("a", "b"))
        fixture.ask(session, caller, Statement.Prepare("mine", PreparedPlan(Access.WRITE, "q")))

        val answer = fixture.ask(session, caller, Statement.Execute("mine", "1 x"))

        assertNull(answer?.error)
        assertEquals(listOf("w_q 1 x"), primary.ran)
        assertTrue(fixture.targets.links.any { it.values == mapOf("a" to "b") })
    }

    /** Guards against a plan or a value that changes on the way to the serving host. */
    @Test
    fun `plans and session values of any character run at another host as the caller sent them`() {
        val all = (0..255).joinToString("") { it.toChar().toString() }
        val session = open()
        for (value in listOf("x", "x ", "", all, "a b")) {
            for (plan in Access.entries.map { PreparedPlan(it, "q WRITE $value") }) {
                primary.executed.clear()
                fixture.ask(session, caller, Statement.SetValue("name$all", value))
                fixture.ask(session, caller, Statement.Prepare("s$all", plan))
                fixture.ask(session, caller, Statement.Execute("s$all", "item $value"))

                assertEquals(listOf(ExecutedPlan(plan, "item $value")), primary.executed)
                assertTrue(fixture.targets.links.any { it.values == mapOf("name$all" to value) })
            }
        }
    }

    @Test
    fun `a transaction runs on one connection and commits`() {
        val session = open()
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)
        assertEquals(TransactionState.OPEN, caller.answers.last().state)
        fixture.ask(session, caller, read)
        val answer = fixture.ask(session, caller, Statement.Commit)

        assertEquals("COMMIT", fixture.targets.textOf(answer?.digest))
        assertEquals(TransactionState.IDLE, answer?.state)
        assertEquals(listOf("WRITE 1 x", "READ 1", "COMMIT"), primary.ran)
        assertEquals(1, fixture.targets.links.count { link -> link.sent.any { it is TargetStatement.Begin } })
    }

    @Test
    fun `a caller that leaves inside a transaction has it rolled back`() {
        val session = open()
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)

        fixture.hosts[forwarder].closeSession(session)
        fixture.timers.advance(100)

        assertEquals(listOf("WRITE 1 x", "ROLLBACK"), primary.ran)
        assertTrue(primary.log.isEmpty())
    }

    @Test
    fun `a session reads its own write although another host serves it`() {
        val session = open("session")
        fixture.ask(session, caller, write)
        fixture.ask(session, caller, read)

        assertTrue("READ 1" in primary.ran, "replicas lack the write: ${primary.ran}")
    }

    @Test
    fun `a read is run at another member when the serving host is lost`() {
        val session = open()
        fixture.ask(session, caller, write)
        val lost = servingHost()
        primary.answersInMillis = 50
        session.onStatement("r", read)
        fixture.timers.advance(20)

        fixture.partitionedHosts += lost
        fixture.links.disconnect(lost)
        fixture.timers.advance(400)

        assertNull(caller.answers.last().error)
        assertEquals("READ 1", fixture.targets.textOf(caller.answers.last().digest))
    }

    @Test
    fun `a read at a member that went dark is answered by another one within half a second`() {
        val session = open()
        fixture.ask(session, caller, write)
        fixture.partitionedHosts += servingHost()

        val answer = fixture.ask(session, caller, read, millis = 450)

        assertNull(answer?.error)
        assertEquals("READ 1", fixture.targets.textOf(answer?.digest))
    }

    @Test
    fun `a slow statement does not make its member avoided`() {
        val session = open()
        fixture.ask(session, caller, write)
        primary.answersInMillis = 700
        session.onStatement("w", Statement.Run(Access.WRITE, "WRITE 2 x"))
        fixture.timers.advance(500)
        val second = FakeCaller()
        val other = fixture.open(second, host = forwarder)
        other.onStatement("w3", Statement.Run(Access.WRITE, "WRITE 3 x"))
        fixture.timers.advance(1_500)

        assertEquals(setOf(servingHost()), fixture.links.requestCounts.keys)
        assertNull(caller.answers.last().error)
    }

    @Test
    fun `a write whose serving host is lost has an unknown outcome and is not sent again`() {
        val session = open()
        fixture.ask(session, caller, write)
        val lost = servingHost()
        primary.answersInMillis = 50
        session.onStatement("w", Statement.Run(Access.WRITE, "WRITE 2 x"))
        fixture.timers.advance(20)

        fixture.links.disconnect(lost)
        fixture.timers.advance(400)

        assertEquals(ErrorCode.OUTCOME_UNKNOWN, caller.answers.last().error?.code)
        assertTrue(primary.ran.count { it == "WRITE 2 x" } <= 1)
    }

    /** Guards against a promise that nothing is kept of a transaction whose commit the lost host may have sent. */
    @Test
    fun `a transaction whose serving host is lost during the commit has an unknown outcome`() {
        val session = open()
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)
        primary.answersInMillis = 50
        session.onStatement("c", Statement.Commit)
        fixture.timers.advance(20)

        fixture.links.disconnect(servingHost())
        fixture.timers.advance(400)

        assertEquals(ErrorCode.OUTCOME_UNKNOWN, caller.answers.last().error?.code)
        assertEquals(TransactionState.IDLE, caller.answers.last().state)
    }

    @Test
    fun `a transaction whose serving host is lost before the commit is aborted`() {
        val session = open()
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)

        fixture.links.disconnect(servingHost())
        val answer = fixture.ask(session, caller, Statement.Commit)

        assertEquals(ErrorCode.ABORTED, answer?.error?.code)
        assertEquals(TransactionState.IDLE, answer?.state)
        assertTrue(primary.log.isEmpty())
    }

    @Test
    fun `a member that stopped answering is left out within a second and a half`() {
        val session = open()
        fixture.ask(session, caller, write)
        fixture.partitionedHosts += servingHost()
        session.onStatement("r1", read)
        fixture.timers.advance(1_500)

        val answer = fixture.ask(session, caller, read)

        assertNull(answer?.error)
    }

    @Test
    fun `a stopping member hands new operations to others and finishes those under way`() {
        val session = open()
        fixture.ask(session, caller, write)
        val stopping = servingHost()
        primary.answersInMillis = 300
        session.onStatement("w", Statement.Run(Access.WRITE, "WRITE 2 x"))
        fixture.timers.advance(10)
        var isStopped = false

        fixture.hosts[stopping.removePrefix("host-").toInt()].stop(StopTimes(graceMillis = 5_000), stopAccepting = {}) {
            isStopped =
                true
        }
        val second = FakeCaller()
        val other = fixture.open(second, host = forwarder)
        other.onStatement("w2", Statement.Run(Access.WRITE, "WRITE 3 x"))
        fixture.timers.advance(800)

        assertNull(caller.answers.last().error)
        assertNull(second.answers.last().error)
        fixture.timers.advance(3_000)
        assertTrue(isStopped)
    }

    @Test
    fun `an operation waits for a configuration as new as the one its host has used`() {
        val newer = fixture.configuration(version = 2, databases = setOf("latest", "added"))
        fixture.hosts[forwarder].configure(newer)
        val session = open("added")
        session.onStatement("w", write)
        fixture.timers.advance(100)
        assertTrue(caller.answers.isEmpty())

        fixture.hosts.forEach { it.configure(newer) }
        fixture.timers.advance(100)

        assertNull(caller.answers.single().error)
    }

    @Test
    fun `a host that can reach no member is not ready, closes idle sessions and refuses statements at once`() {
        val session = open()
        fixture.partitionedHosts += members
        fixture.timers.advance(3_200)
        val answer = fixture.ask(session, caller, write, millis = 1)
        fixture.timers.advance(1_000)

        assertEquals(ErrorCode.UNAVAILABLE, answer?.error?.code)
        assertTrue(primary.ran.isEmpty())
        assertTrue(caller.isClosed)
        assertFalse(fixture.hosts[forwarder].isReady)
    }

    @Test
    fun `the only member serves its open sessions while it stops`() {
        val alone = HostFixture(hostCount = 1)
        val session = alone.open(caller)
        alone.ask(session, caller, write)

        alone.hosts[0].stop(StopTimes(graceMillis = 5_000), stopAccepting = {}) {}
        val answer = alone.ask(session, caller, write)

        assertNull(answer?.error)
        assertEquals("WRITE 1 x", alone.targets.textOf(answer?.digest))
    }

    /** Guards against a forwarded transaction that goes on because only one of its two hosts knows the configuration. */
    @Test
    fun `a withdrawn key ends a forwarded transaction as soon as either host knows of it`() {
        for (isKnownToForwarder in listOf(true, false)) {
            val fixture = HostFixture(hostCount = HOSTS, settleMillis = 3_000)
            val primary = fixture.targets.target("p")
            val caller = FakeCaller()
            val session = fixture.open(caller, "latest", forwarder)
            fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
            fixture.ask(session, caller, write)
            val newer = fixture.configuration(version = 2, key = "new")

            fixture.hosts.filterIndexed { index, _ -> (index == forwarder) == isKnownToForwarder }
                .forEach { it.configure(newer) }
            fixture.timers.advance(20)

            assertEquals(listOf("WRITE 1 x", "ROLLBACK"), primary.ran, "isKnownToForwarder: $isKnownToForwarder")
            val answer = fixture.ask(session, caller, write)
            assertEquals(ErrorCode.ABORTED, answer?.error?.code)
            assertEquals(TransactionState.FAILED, answer?.state)
        }
    }

    private companion object {
        /** Enough for the first read of the store, a query and its answer. */
        const val START_MILLIS = 50L

        const val HOSTS = 14
    }
}
