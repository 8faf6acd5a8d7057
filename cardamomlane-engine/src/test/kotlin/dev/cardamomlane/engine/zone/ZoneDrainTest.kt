package dev.cardamomlane.engine.zone

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.config.Features
import dev.cardamomlane.engine.fleet.StorePosition
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.target.TargetEntry
import dev.cardamomlane.engine.targetEntry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Targets `p` and `r1` are in the zone `x`, which the tests drain, and `r2` is in `y`. */
class ZoneDrainTest {
    private val write = Statement.Run(Access.WRITE, "WRITE 1 x")
    private val read = Statement.Run(Access.READ, "READ 1")
    private var fixture = fixture()
    private val timers get() = fixture.timers

    private fun fixture(
        hostCount: Int = 3,
        entries: List<TargetEntry> = ENTRIES,
        drains: ZoneDrains? = ZoneDrains.of(StorePosition(1, 1), emptyList()),
    ) = HostFixture(hostCount, features = Features(drainsZones = true), entries = entries, drains = drains)

    private fun drains(version: Long, vararg zones: String, epoch: Long = 1) =
        ZoneDrains.of(StorePosition(epoch, version), zones.toList())

    /** The store informs the hosts whose numbers are [informed]; all by default. */
    private fun update(drains: ZoneDrains, informed: Iterable<Int> = fixture.hosts.indices) =
        informed.forEach { fixture.hosts[it].updateDrains(drains) }

    private fun primaryIds() = fixture.hosts.map { it.group(DatabaseId("g"))?.primary?.entry?.id?.value }

    /** The operations that were sent to [target] so far: no status queries and no clean-up. */
    private fun sentCount(target: String): Int = fixture.targets.links.filter { it.target.id == target }
        .flatMap { it.sent }.count {
            it is TargetStatement.Run || it is TargetStatement.Execute || it is TargetStatement.Begin ||
                it is TargetStatement.Commit
        }

    /** For [millis] every host gets writes and reads, and replicas receive the log. */
    private fun useEverywhere(millis: Long) {
        repeat((millis / STEP_MILLIS).toInt()) {
            for (index in fixture.hosts.indices) {
                for (database in listOf("latest", "bounded")) {
                    val caller = FakeCaller()
                    val session = fixture.hosts[index].openSession(caller, database, "key")
                    if (caller.isOpened) session.onStatement("s", if (database == "latest") write else read)
                }
            }
            timers.advance(STEP_MILLIS)
            val positions = IDS.map { fixture.targets.target(it).position }
            for (id in IDS) fixture.targets.target(id).position = positions.max()
        }
    }

    @Test
    fun `the primary moves to another zone first, and then no operation reaches the draining zone`() {
        useEverywhere(500)

        update(drains(2, "x"))
        useEverywhere(2_000)

        assertTrue(primaryIds().all { it == "r2" }, "primaries are ${primaryIds()}")
        val before = sentCount("p") + sentCount("r1")
        useEverywhere(3_000)
        assertEquals(before, sentCount("p") + sentCount("r1"))
        val caller = FakeCaller()
        assertNull(fixture.ask(fixture.open(caller), caller, write)?.error)
    }

    @Test
    fun `a host whose store is away learns of the drain from its peers before the bound`() {
        useEverywhere(500)
        fixture.hostsWithoutPlatform += setOf("host-1", "host-2")

        update(drains(2, "x"), informed = listOf(0))
        timers.advance(300)

        assertTrue(fixture.hosts.all { it.drains == drains(2, "x") })
        useEverywhere(4_700)
        val before = sentCount("p") + sentCount("r1")
        useEverywhere(2_000)
        assertEquals(before, sentCount("p") + sentCount("r1"))
    }

    @Test
    fun `hosts without a seat learn of the drain from members, and members from them`() {
        fixture = fixture(hostCount = 12)
        timers.advance(2_000)
        val seated = fixture.store.seats.map { it.member.name }.toSet()
        val seatless = fixture.hosts.indices.first { "host-$it" !in seated }

        update(drains(2, "x"), informed = listOf(seatless))
        timers.advance(2_500)

        assertTrue(fixture.hosts.all { it.drains == drains(2, "x") }, "${fixture.hosts.map { it.drains }}")
    }

    /** Guards against reads at replicas by a host that can't learn of a drain, as its links and its store are cut. */
    @Test
    fun `a host that has lost contact with store and peers sends nothing once its proof has expired`() {
        useEverywhere(500)
        fixture.partitionedHosts += "host-1"
        fixture.hostsWithoutPlatform += "host-1"
        readAt(host = 1, millis = 2_000)
        val before = IDS.sumOf(::sentCount)

        readAt(host = 1, millis = 4_000)

        assertEquals(before, IDS.sumOf(::sentCount))
    }

    private fun readAt(host: Int, millis: Long) = repeat((millis / STEP_MILLIS).toInt()) {
        val caller = FakeCaller()
        val session = fixture.hosts[host].openSession(caller, "bounded", "key")
        if (caller.isOpened) session.onStatement("s", read)
        timers.advance(STEP_MILLIS)
    }

    @Test
    fun `a group whose targets are all in draining zones refuses at once, and nothing was run`() {
        val caller = FakeCaller()
        val session = fixture.open(caller)
        update(drains(2, "x", "y"))

        val answer = fixture.ask(session, caller, write, millis = 10)

        assertEquals(true, answer?.error?.code?.isNotRun)
        assertTrue("draining zone" in answer?.error?.text.orEmpty(), answer?.error?.text)
        assertEquals(0, IDS.sumOf(::sentCount))
    }

    /** Guards against writes that wait for a primary which can't be replaced, as the store is away. */
    @Test
    fun `when the takeover fails writes are refused, and reads go to replicas elsewhere`() {
        useEverywhere(500)
        fixture.store.isDown = true
        update(drains(2, "x"))
        useEverywhere(5_000)
        val before = sentCount("p") + sentCount("r1")
        val writer = FakeCaller()
        val reader = FakeCaller()

        val refusal = fixture.ask(fixture.open(writer), writer, write)
        val answer = fixture.ask(fixture.open(reader, database = "bounded"), reader, read)

        assertEquals(ErrorCode.UNAVAILABLE, refusal?.error?.code)
        assertNull(answer?.error)
        assertEquals(before, sentCount("p") + sentCount("r1"))
    }

    @Test
    fun `an open transaction goes on after the drain is known and is aborted at the bound`() {
        fixture = fixture(entries = listOf(targetEntry("p", isPrimary = true, zone = "x")))
        val caller = FakeCaller()
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        assertNull(fixture.ask(session, caller, read)?.error)
        update(drains(2, "x"))
        assertNull(fixture.ask(session, caller, write, millis = 1_000)?.error)

        timers.advance(1_000)
        val before = sentCount("p")
        val answer = fixture.ask(session, caller, Statement.Commit)

        assertEquals(ErrorCode.ABORTED, answer?.error?.code)
        assertEquals(before, sentCount("p"))
        assertTrue(fixture.targets.target("p").log.isEmpty())
    }

    @Test
    fun `the targets get work again when the request is withdrawn`() {
        useEverywhere(500)
        update(drains(2, "x"))
        useEverywhere(2_000)
        val before = sentCount("p") + sentCount("r1")

        update(drains(3))
        useEverywhere(2_000)

        assertNotEquals(before, sentCount("p") + sentCount("r1"))
    }

    /** Guards against a host with an old copy of the rows that ends a drain, or brings back one that has ended. */
    @Test
    fun `an older copy changes nothing, and one of a restored store does`() {
        update(drains(5, "x"))
        update(drains(4))
        assertTrue(fixture.hosts.all { it.drains == drains(5, "x") })

        update(drains(3, epoch = 2), informed = listOf(0))
        timers.advance(500)

        assertTrue(fixture.hosts.all { it.drains == drains(3, epoch = 2) })
        update(drains(9, "x"), informed = listOf(1))
        timers.advance(500)
        assertTrue(fixture.hosts.all { it.drains.zones.isEmpty() })
    }

    /** Guards against a host that starts during a drain and sends to the draining zone until its first read. */
    @Test
    fun `a restarted host is not ready and sends nothing before it knows the drains`() {
        useEverywhere(500)
        update(drains(2, "x"))
        useEverywhere(5_000)
        fixture.hostsWithoutPlatform += "host-1"
        val before = sentCount("p") + sentCount("r1")
        fixture.restart(1)
        assertFalse(fixture.hosts[1].isReady)

        useEverywhere(1_000)
        fixture.hostsWithoutPlatform.clear()
        useEverywhere(3_000)

        assertEquals(drains(2, "x"), fixture.hosts[1].drains)
        assertTrue(fixture.hosts[1].isReady)
        assertEquals(before, sentCount("p") + sentCount("r1"))
    }

    @Test
    fun `a duplicate, an unknown zone and the end of a drain that never was change nothing`() {
        useEverywhere(500)
        val before = primaryIds()

        update(drains(2, "nowhere"))
        update(drains(3, "nowhere"))
        update(drains(4))
        update(drains(5))
        useEverywhere(1_000)

        assertEquals(before, primaryIds())
        assertTrue(fixture.promotions.isEmpty())
        val caller = FakeCaller()
        assertNull(fixture.ask(fixture.open(caller), caller, write)?.error)
    }

    /** Guards against a change of hosts that have not switched the feature on. */
    @Test
    fun `drains have no effect while the feature is off`() {
        fixture = HostFixture(hostCount = 3, entries = ENTRIES)

        update(drains(2, "x", "y"))
        useEverywhere(1_000)

        assertTrue(fixture.promotions.isEmpty())
        assertTrue(fixture.hosts.all { it.drains == ZoneDrains.UNKNOWN })
    }

    private companion object {
        const val STEP_MILLIS = 50L
        val IDS = listOf("p", "r1", "r2")
        val ENTRIES = listOf(
            targetEntry("p", isPrimary = true, zone = "x"),
            targetEntry("r1", zone = "x"),
            targetEntry("r2", zone = "y"),
        )
    }
}
