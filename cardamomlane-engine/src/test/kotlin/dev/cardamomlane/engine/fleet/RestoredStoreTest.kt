package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.Statement
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** What hosts do when the store comes back from a copy that lacks its newest rows and gives out their versions anew. */
class RestoredStoreTest {
    private var fixture = HostFixture(hostCount = 3)
    private val timers get() = fixture.timers
    private val write = Statement.Run(Access.WRITE, "WRITE 1 x")

    private fun primaryIds() = fixture.hosts.map { it.group(DatabaseId("g"))?.primary?.entry?.id?.value }

    private fun writeEverywhere() {
        for (index in fixture.hosts.indices) fixture.open(FakeCaller(), host = index).onStatement("w$index", write)
    }

    private fun crash(id: String) {
        val target = fixture.targets.target(id)
        target.isDown = true
        fixture.targets.links.filter { it.target === target }.forEach { it.disconnect() }
    }

    /** Crashes the primary [old] and lets [replica], which has received most, replace it. */
    private fun replace(old: String, replica: String) {
        writeEverywhere()
        timers.advance(200)
        fixture.targets.target(replica).position = LogPosition(5, 9)
        crash(old)
        writeEverywhere()
        timers.advance(4_000)
        assertEquals(replica, fixture.promotions.last().first)
    }

    private fun restartAll() = fixture.hosts.indices.forEach(fixture::restart)

    @Test
    fun `a primary that crashes after the store lost its record is replaced in time`() {
        val copy = fixture.store.copy()
        replace("p", replica = "r1")
        fixture.store.restore(copy)
        timers.advance(3_000)

        replace("r1", replica = "r2")

        assertEquals(listOf<String?>("r2", "r2", "r2"), primaryIds())
    }

    @Test
    fun `a confirmation of a takeover from before the restoration does not count for one after it`() {
        fixture = HostFixture(hostCount = 5)
        val copy = fixture.store.copy()
        replace("p", replica = "r1")
        fixture.store.restore(copy)
        timers.advance(1_000)
        fixture.targets.partitionedPaths += (1..4).map { "host-$it/r1" }
        val caller = FakeCaller()
        val session = fixture.open(caller, host = 0)
        for (host in 1..4) fixture.open(FakeCaller(), host = host).onStatement("w", write)
        timers.advance(BEFORE_CLAIM_MILLIS)
        fixture.cutPaths += (1..4).map { "host-$it>host-0" }
        fixture.hostsWithoutPlatform += "host-0"

        assertEquals(0, fixture.countLateAcknowledgements(session, caller, write, replaced = "r1", attempts = 200))
    }

    @Test
    fun `a fence is not sent twice although the store and every host forgot it`() {
        val copy = fixture.store.copy()
        replace("p", replica = "r1")
        fixture.store.restore(copy)
        restartAll()
        timers.advance(6_000)

        replace("r1", replica = "r2")

        val fences = fixture.promotions.map { it.second }
        assertEquals(fences.sorted().distinct(), fences)
    }

    @Test
    fun `no write goes to a replaced primary although the store and every host forgot that it was replaced`() {
        val copy = fixture.store.copy()
        writeEverywhere()
        timers.advance(200)
        for (host in fixture.hosts.indices) fixture.targets.partitionedPaths += "host-$host/p"
        writeEverywhere()
        timers.advance(4_000)
        assertEquals(1, fixture.promotions.size)
        fixture.targets.partitionedPaths.clear()
        fixture.store.restore(copy)
        restartAll()
        var lateCommits = 0
        fixture.targets.onCommit = { target, _ -> if (target.id == "p") lateCommits++ }

        repeat(200) {
            timers.advance(50)
            for (index in fixture.hosts.indices) {
                val host = fixture.hosts[index]
                if (host.isReady) fixture.open(FakeCaller(), host = index).onStatement("w", write)
            }
        }

        assertEquals(0, lateCommits)
        val caller = FakeCaller()
        assertNull(fixture.ask(fixture.open(caller), caller, write)?.error)
    }

    @Test
    fun `members that restarted after the copy was made go on serving, and the store names them again`() {
        fixture = HostFixture(hostCount = 5)
        val copy = fixture.store.copy()
        for (index in 0..1) fixture.restart(index)
        timers.advance(1_000)
        val members = fixture.store.seats.map { it.member }
        fixture.store.restore(copy)
        val callers = fixture.hosts.indices.map { FakeCaller() }
        val sessions = callers.mapIndexed { index, caller -> fixture.open(caller, host = index) }

        repeat(100) {
            for (index in sessions.indices) {
                assertNull(fixture.ask(sessions[index], callers[index], write, millis = 10)?.error)
            }
        }

        assertEquals(members.toSet(), fixture.store.seats.map { it.member }.toSet())
    }

    @Test
    fun `the record that the store lost is put back`() {
        val copy = fixture.store.copy()
        replace("p", replica = "r1")
        val record = fixture.store.written.last()
        fixture.store.restore(copy)

        timers.advance(1_000)

        val putBack = fixture.store.written.last()
        assertEquals(record.copy(position = putBack.position), putBack)
        assertEquals(2, putBack.position.epoch)
    }

    private fun returnAsReplica(id: String) {
        fixture.targets.target(id).isPrimary = false
        fixture.targets.target(id).isDown = false
    }

    @Test
    fun `hosts that all restart with a restored store serve again within four seconds`() {
        val copy = fixture.store.copy()
        replace("p", replica = "r1")
        returnAsReplica("p")
        fixture.store.restore(copy)
        restartAll()

        timers.advance(4_000)

        val caller = FakeCaller()
        assertNull(fixture.ask(fixture.open(caller), caller, write)?.error)
        assertTrue("WRITE 1 x" in fixture.targets.target("r1").ran)
    }

    @Test
    fun `a target that does not answer holds up hosts that all restarted, but not for good`() {
        val copy = fixture.store.copy()
        replace("p", replica = "r1")
        returnAsReplica("p")
        fixture.targets.target("r1").isSilent = true
        fixture.store.restore(copy)
        restartAll()

        timers.advance(5_000)
        assertTrue(fixture.hosts.none { it.isReady })
        fixture.targets.target("r2").position = LogPosition(5, 9)
        timers.advance(10_000)

        val caller = FakeCaller()
        assertNull(fixture.ask(fixture.open(caller), caller, write)?.error)
    }

    @Test
    fun `a store that has been restored often costs a quiet fleet no more calls`() {
        fixture = HostFixture(hostCount = 20, settleMillis = 3_000)
        repeat(3) {
            fixture.store.restore(fixture.store.copy())
            timers.advance(2_000)
        }
        val before = fixture.store.callCount

        timers.advance(10_000)

        assertTrue(fixture.store.callCount - before <= 50, "${fixture.store.callCount - before} calls in 10 s")
    }

    @Test
    fun `claims pause while the store refuses them`() {
        writeEverywhere()
        timers.advance(200)
        fixture.store.isDown = true
        crash("p")
        writeEverywhere()
        timers.advance(500)
        val callsBefore = fixture.store.callCount

        timers.advance(1_000)

        val calls = fixture.store.callCount - callsBefore
        assertTrue(calls <= 10 * fixture.hosts.size, "$calls calls of ${fixture.hosts.size} hosts in a second")
    }

    private companion object {
        /** From the loss of the primary to shortly before a host claims its takeover. */
        const val BEFORE_CLAIM_MILLIS = 300L
    }
}
