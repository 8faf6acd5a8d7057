package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.HostFixture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What a fleet without traffic costs, and how it forms, at sizes far above the number of seats. */
class FleetSizeTest {
    private val sizes = listOf(95, 300)

    private fun HostFixture.memberNames(): Set<String> = store.seats.map { it.member.name }.toSet()

    @Test
    fun `every host is ready a second and a half after all have started`() {
        for (size in sizes) {
            val fixture = HostFixture(hostCount = size, settleMillis = 1_500)

            assertEquals(9, fixture.memberNames().size, "of $size hosts")
            assertEquals(0, fixture.hosts.count { !it.isReady }, "of $size hosts are not ready")
        }
    }

    @Test
    fun `a quiet host without a seat exchanges ten datagrams a second at any size of the fleet`() {
        for (size in sizes) {
            val fixture = HostFixture(hostCount = size, settleMillis = 3_000)
            val members = fixture.memberNames()
            fixture.datagramCounts.clear()

            fixture.timers.advance(SECONDS * 1_000L)

            val counts = fixture.datagramCounts.filterKeys { it !in members }.values
            assertTrue(counts.max() <= 10 * SECONDS, "${counts.max()} in $SECONDS s, $size hosts")
        }
    }

    @Test
    fun `a quiet fleet calls the store a few times a second at any size`() {
        for (size in sizes) {
            val fixture = HostFixture(hostCount = size, settleMillis = 3_000)
            val before = fixture.store.callCount

            fixture.timers.advance(SECONDS * 1_000L)

            val calls = fixture.store.callCount - before
            assertTrue(calls <= 5 * SECONDS, "$calls in $SECONDS s, $size hosts")
        }
    }

    @Test
    fun `the seat of a member that is lost for good is taken by another host`() {
        val fixture = HostFixture(hostCount = 95, settleMillis = 3_000)
        val lost = fixture.memberNames().first()
        fixture.partitionedHosts += lost
        fixture.hostsWithoutPlatform += lost

        fixture.timers.advance(14_000)

        assertEquals(9, fixture.memberNames().size)
        assertTrue(lost !in fixture.memberNames())
    }

    @Test
    fun `a member that only one other member can't hear keeps its seat`() {
        val fixture = HostFixture(hostCount = 20, settleMillis = 3_000)
        val members = fixture.memberNames()
        val (first, second) = members.toList()
        fixture.cutPaths += setOf("$first>$second", "$second>$first")

        fixture.timers.advance(20_000)

        assertEquals(members, fixture.memberNames())
    }

    @Test
    fun `a member that lost its seat while it was cut off takes none from the others when it is back`() {
        val fixture = HostFixture(hostCount = 14, settleMillis = 3_000)
        val lost = fixture.memberNames().first()
        fixture.partitionedHosts += lost
        fixture.hostsWithoutPlatform += lost
        fixture.timers.advance(14_000)
        val members = fixture.memberNames()
        assertTrue(lost !in members)

        fixture.partitionedHosts.clear()
        fixture.hostsWithoutPlatform.clear()
        fixture.timers.advance(10_000)

        assertEquals(members, fixture.memberNames())
        assertTrue(fixture.hosts.all { it.isReady })
    }

    @Test
    fun `hosts take the seats by force when every member is lost for good`() {
        val fixture = HostFixture(hostCount = 30, settleMillis = 3_000)
        val lost = fixture.memberNames()
        fixture.partitionedHosts += lost
        fixture.hostsWithoutPlatform += lost

        fixture.timers.advance(40_000)

        assertTrue((fixture.memberNames() - lost).size >= 5, "${fixture.memberNames()} after $lost")
        assertEquals(0, fixture.hosts.indices.count { "host-$it" !in lost && !fixture.hosts[it].isReady })
    }

    private companion object {
        const val SECONDS = 10
    }
}
