package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.targetEntry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class TakeoverTest {
    private val fixture = HostFixture(hostCount = 3)
    private val write = Statement.Run(Access.WRITE, "WRITE 1 x")

    private fun primaryIds() = fixture.hosts.map { it.group(DatabaseId("g"))?.primary?.entry?.id?.value }

    /** Sends a write at every host, so that each uses the primary and notices when it does not answer. */
    private fun useEverywhere(fixture: HostFixture = this.fixture) {
        for (index in fixture.hosts.indices) fixture.open(FakeCaller(), host = index).onStatement("w$index", write)
    }

    /** Stops the target [id] and closes its connections. */
    private fun crash(id: String, fixture: HostFixture = this.fixture) {
        val target = fixture.targets.target(id)
        target.isDown = true
        fixture.targets.links.filter { it.target === target }.forEach { it.disconnect() }
    }

    @Test
    fun `a crashed primary is replaced by the replica with the highest position, under one fence`() {
        useEverywhere()
        fixture.timers.advance(200)
        fixture.targets.target("r1").position = LogPosition(1, 2)
        fixture.targets.target("r2").position = LogPosition(1, 3)
        crash("p")
        useEverywhere()

        fixture.timers.advance(4_000)

        assertEquals(listOf("r2" to 1L), fixture.promotions)
        assertEquals(listOf<String?>("r2", "r2", "r2"), primaryIds())
        val caller = FakeCaller()
        assertNull(fixture.ask(fixture.open(caller), caller, write)?.error)
    }

    @Test
    fun `a primary that only one host can't reach is not replaced`() {
        val many = HostFixture(hostCount = 5)
        many.targets.partitionedPaths += "host-0/p"
        repeat(8) {
            useEverywhere(many)
            many.timers.advance(500)
        }

        assertTrue(many.promotions.isEmpty())
        assertTrue(many.store.written.isEmpty())
    }

    @Test
    fun `a takeover that waits for a silent replica is not claimed by another host meanwhile`() {
        val fixture = HostFixture(hostCount = 3, isReplicatedBeforeAcknowledged = true)
        useEverywhere(fixture)
        fixture.timers.advance(200)
        crash("p", fixture)
        crash("r2", fixture)
        useEverywhere(fixture)

        fixture.timers.advance(12_000)

        assertEquals(listOf("r1" to 1L), fixture.promotions)
    }

    /** Guards against the loss of a commit that only a replica has which was silent for so long that it left the list. */
    @Test
    fun `a takeover that needs every replica waits for one that has left the list, and promotes it when it is back`() {
        val fixture = HostFixture(
            hostCount = 3,
            // So long that the hosts know of every target, and wait for none but this one.
            settleMillis = 9_000,
            isReplicatedBeforeAcknowledged = true,
        )
        useEverywhere(fixture)
        fixture.timers.advance(200)
        fixture.targets.target("r2").position = LogPosition(1, 9)
        crash("r2", fixture)
        val without = listOf(targetEntry("p", isPrimary = true), targetEntry("r1"))
        fixture.hosts.forEach { it.updateTargets(without, StorePosition(1, 2)) }
        crash("p", fixture)
        useEverywhere(fixture)
        fixture.timers.advance(4_000)
        assertTrue(fixture.promotions.isEmpty(), "${fixture.promotions}")

        fixture.targets.target("r2").isDown = false
        fixture.hosts.forEach { it.updateTargets(without + targetEntry("r2"), StorePosition(1, 3)) }
        fixture.timers.advance(4_000)

        assertEquals("r2", fixture.promotions.single().first)
    }

    @Test
    fun `a member that has just lost its seat acknowledges no write of a primary that is being replaced`() {
        val fixture = HostFixture(hostCount = 14, settleMillis = 3_000)
        val lost = fixture.store.seats.first().member.name
        val lostIndex = lost.removePrefix("host-").toInt()
        val caller = FakeCaller()
        fixture.partitionedHosts += lost
        for (step in 0 until 2_000) {
            fixture.timers.advance(10)
            if (fixture.store.seats.none { it.member.name == lost }) break
        }
        fixture.hostsWithoutPlatform += lost
        fixture.timers.advance(300)
        assertTrue(fixture.store.seats.none { it.member.name == lost })
        for (host in fixture.hosts.indices - lostIndex) fixture.targets.partitionedPaths += "host-$host/p"
        val session = fixture.open(caller, host = lostIndex)
        for (host in fixture.hosts.indices - lostIndex) fixture.open(FakeCaller(), host = host).onStatement("w", write)

        assertEquals(0, fixture.countLateAcknowledgements(session, caller, write, replaced = "p", attempts = 150))
    }

    @Test
    fun `a heartbeat of an earlier incarnation that arrives late changes nothing`() {
        val peer = fixture.hosts[1]
        val late = PeerMessage("host-1", incarnation = 0, heartbeat = heartbeat(configurationVersion = 99))
        var fetched = 0
        fixture.hosts[0].onNewerConfiguration = { _, _ -> fetched++ }

        fixture.hosts[0].onPeerMessage(late)
        fixture.timers.advance(500)

        assertEquals(0, fetched)
        assertTrue(peer.isReady)
    }

    private fun heartbeat(configurationVersion: Long) = Heartbeat(
        sentAtMillis = 1_000_000,
        answeredSentAtMillis = -1,
        answeredIncarnation = 0,
        answeredHeldMillis = 0,
        proofAgeMillis = 0,
        membersHash = 0,
        configurationVersion = configurationVersion,
        isInformed = true,
        isReady = true,
        heardMembers = emptyList(),
        groups = emptyList(),
        demand = emptyList(),
    )

    @Test
    fun `hosts report an unreachable primary to each other at once`() {
        val waitsMillis = (0..240 step 40).map(::millisToClaim)

        assertTrue(waitsMillis.all { it <= CLAIM_MILLIS }, "claimed after $waitsMillis ms")
    }

    /** How long three hosts take to claim a takeover when the primary crashes [phaseMillis] after a regular heartbeat. */
    private fun millisToClaim(phaseMillis: Int): Int {
        val fixture = HostFixture(hostCount = 3)
        useEverywhere(fixture)
        fixture.timers.advance(1_000L + phaseMillis)
        crash("p", fixture)
        useEverywhere(fixture)
        var waitedMillis = 0
        while (fixture.store.written.isEmpty() && waitedMillis < 1_000) {
            fixture.timers.advance(STEP_MILLIS)
            waitedMillis += STEP_MILLIS.toInt()
        }
        return waitedMillis
    }

    @Test
    fun `a draining primary is replaced once a replica has caught up, and no write is lost`() {
        useEverywhere()
        fixture.timers.advance(200)
        val entries =
            listOf(targetEntry("p", isPrimary = true, isDraining = true), targetEntry("r1"), targetEntry("r2"))
        fixture.hosts.forEach { it.updateTargets(entries, StorePosition(1, 2)) }
        fixture.timers.advance(300)
        assertTrue(fixture.promotions.isEmpty(), "no replica has caught up yet")
        fixture.replicate()

        fixture.timers.advance(2_000)

        assertEquals(1, fixture.promotions.size)
        assertTrue(primaryIds().all { it == fixture.promotions.single().first })
    }

    @Test
    fun `a primary that reports to be a replica is given up for the one that is primary`() {
        useEverywhere()
        fixture.timers.advance(200)
        fixture.targets.target("p").isPrimary = false
        fixture.targets.target("r1").isPrimary = true
        fixture.targets.target("r1").position = LogPosition(2, 9)

        repeat(8) {
            useEverywhere()
            fixture.timers.advance(500)
        }

        assertTrue(fixture.promotions.isEmpty())
        assertTrue(primaryIds().all { it == "r1" })
    }

    @Test
    fun `a host that reaches too few others claims nothing while they may still serve`() {
        useEverywhere()
        fixture.timers.advance(200)
        fixture.partitionedHosts += "host-0"
        fixture.timers.advance(1_000)
        crash("p")
        fixture.open(FakeCaller(), host = 0).onStatement("w", write)
        fixture.hosts.drop(1).forEach { it.updateTargets(emptyList(), StorePosition(1, 2)) }

        fixture.timers.advance(4_000)

        assertTrue(fixture.store.written.isEmpty())
    }

    /** Guards against hosts that claim a takeover from each other for good while most seats are those of lost hosts, review/7. */
    @Test
    fun `a primary is replaced after the loss of most members at once`() {
        val fixture = HostFixture(hostCount = 9)
        useEverywhere(fixture)
        fixture.timers.advance(200)
        (3 until 9).forEach(fixture::kill)
        crash("p", fixture)

        repeat(30) {
            (0 until 3).forEach { fixture.open(FakeCaller(), host = it).onStatement("w$it", write) }
            fixture.timers.advance(1_000)
        }

        assertEquals(1, fixture.promotions.size, "${fixture.promotions}")
        val caller = FakeCaller()
        assertNull(fixture.ask(fixture.open(caller), caller, write)?.error)
    }

    @Test
    fun `a takeover whose holder is gone is finished by another host`() {
        useEverywhere()
        fixture.timers.advance(200)
        crash("p")
        useEverywhere()
        while (fixture.store.written.isEmpty()) fixture.timers.advance(10)
        val holder = fixture.store.written.single().holder.substringBefore('#')
        fixture.partitionedHosts += holder
        fixture.hostsWithoutPlatform += holder

        fixture.timers.advance(4_500)

        assertTrue(fixture.store.written.last().let { !it.isChanging && it.fence == 2L }, "${fixture.store.written}")
    }

    @Test
    fun `a partitioned host refuses writes before another primary can be in place`() {
        useEverywhere()
        fixture.timers.advance(200)
        val caller = FakeCaller()
        val session = fixture.open(caller, host = 2)
        fixture.partitionedHosts += "host-2"
        fixture.store.isDown = true
        fixture.timers.advance(GroupRecords.MAX_AGE_MILLIS + 100)

        session.onStatement("late", write)
        fixture.timers.advance(2_000)

        assertTrue(caller.answers.single().error?.code?.isNotRun == true)
    }

    @Test
    fun `heartbeats of a majority are proof while no host reaches the store and one is partitioned`() {
        useEverywhere()
        fixture.store.isDown = true
        fixture.partitionedHosts += "host-2"
        fixture.timers.advance(6_000)
        val caller = FakeCaller()

        assertNull(fixture.ask(fixture.open(caller), caller, write)?.error)
    }

    private companion object {
        /**
         * The time that a primary must refuse connections (150 ms), one tick (40 ms), and the rest for connection
         * attempts and messages.
         */
        const val CLAIM_MILLIS = 210
        const val STEP_MILLIS = 10L
    }
}
