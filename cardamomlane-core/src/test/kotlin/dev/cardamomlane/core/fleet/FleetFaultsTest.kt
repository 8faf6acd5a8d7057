package dev.cardamomlane.core.fleet

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Runs a fleet of eight hosts through single faults; in part of the tests a revision is proposed during the fault. */
class FleetFaultsTest {
    /** A fault, and within what time of the proposal all hosts in good standing must have the revision in force. */
    enum class Fault(val inForceMillis: Long, internal val inject: (SimFleet) -> Unit) {
        NONE(2_000, {}),
        PLATFORM_SLOW(5_000, { it.platformDelayMillis = 600 }),
        ANSWERS_LOST(5_000, { it.answersToLose = 2 }),
        ONE_HOST_DOWN(5_000, { it.host(3).isUp = false }),
        FIRST_POLLERS_DOWN(6_000, { fleet -> repeat(3) { fleet.host(it).isUp = false } }),
        ZONE_DOWN(5_000, { fleet -> listOf(2, 5).forEach { fleet.host(it).isUp = false } }),
        HOST_PAUSED(5_000, { it.host(4).pause(8_000) }),
        HOST_PARTITIONED(5_000, { partition(it, listOf(6)) }),
        ZONE_PARTITIONED(5_000, { partition(it, listOf(0, 1)) }),
        HOST_JOINING(5_000, { it.start("host-8") }),
        HOST_RESTARTED(5_000, { fleet -> restart(fleet, 5) }),
    }

    @ParameterizedTest
    @EnumSource(Fault::class)
    fun `a revision is in force within its bound`(fault: Fault) {
        for (seed in 1L..5L) {
            val fleet = started(seed)
            fault.inject(fleet)
            val revision = fleet.propose(burst = 16)
            val tookMillis = fleet.runUntil(fault.inForceMillis, "$fault, seed $seed: revision in force") {
                fleet.control.head.accepted == revision &&
                    fleet.hosts.filter { it.isUp && it.isInStanding() && !it.isPaused }
                        .all { it.revision() == revision }
            }
            fleet.run(15_000)
            assertTrue(fleet.control.head.accepted == revision && tookMillis >= 0)
        }
    }

    @Test
    fun `an outage of the platform stops no host and reverts nothing`() {
        val fleet = started()
        fleet.isPlatformDown = true
        repeat(60) {
            fleet.run(1_000)
            assertTrue(fleet.areAllInStanding(), "all hosts in good standing after ${it + 1} s without the platform")
        }
        fleet.isPlatformDown = false
        fleet.run(5_000)
        assertEquals(8, fleet.control.record.members.size)
        assertEquals(1, fleet.control.head.accepted)
    }

    @Test
    fun `a host that starts during an outage of the platform is not in good standing until the outage ends`() {
        val fleet = started()
        fleet.isPlatformDown = true
        restart(fleet, 2)
        fleet.run(20_000)
        assertFalse(fleet.hosts.last().isInStanding())
        assertTrue(fleet.areAllInStanding(except = setOf(fleet.hosts.last())))
        fleet.isPlatformDown = false
        fleet.runUntil(12_000, "the new incarnation is in good standing") { fleet.hosts.last().isInStanding() }
    }

    @Test
    fun `without the platform a partitioned minority stops and the majority continues`() {
        val fleet = started()
        fleet.isPlatformDown = true
        partition(fleet, listOf(0, 1, 2))
        fleet.run(4_000)
        assertTrue(fleet.hosts.take(3).none { it.isInStanding() })
        assertTrue(fleet.hosts.drop(3).all { it.isInStanding() })
    }

    @Test
    fun `without the platform both halves of an even partition stop`() {
        val fleet = started()
        fleet.isPlatformDown = true
        partition(fleet, listOf(0, 1, 2, 3))
        fleet.run(4_000)
        assertTrue(fleet.hosts.none { it.isInStanding() })
    }

    @Test
    fun `the hosts of a failed availability zone are removed in one change`() {
        val fleet = started()
        val before = fleet.control.record.version
        listOf(2, 5, 7).forEach { fleet.host(it).isUp = false }
        fleet.runUntil(14_000, "five members settled") {
            fleet.control.record.isSettled && fleet.control.record.members.size == 5
        }
        assertEquals(before + 1, fleet.control.record.version)
        assertTrue(fleet.areAllInStanding())
    }

    @Test
    fun `a host paused beyond its lease does not serve when it resumes and joins again`() {
        val fleet = started()
        val paused = fleet.host(4)
        paused.pause(20_000)
        fleet.run(19_999)
        assertFalse(paused.id in fleet.control.record)
        assertFalse(paused.isInStanding())
        fleet.runUntil(12_000, "the host is in good standing again") { paused.isInStanding() }
    }

    @Test
    fun `the fleet continues after all hosts were replaced under the same names`() {
        val fleet = started()
        repeat(8) { restart(fleet, it) }
        fleet.runUntil(15_000, "the new incarnations are in good standing") { fleet.areAllInStanding() }
        assertEquals(1L, fleet.host(10).revision())
    }

    @Test
    fun `an earlier incarnation that resumes beside its successor stops`() {
        val fleet = started()
        val earlier = fleet.host(1)
        earlier.pause(9_000)
        fleet.start("host-1", incarnation = 2)
        fleet.run(15_000)
        assertFalse(earlier.isInStanding())
        assertTrue(fleet.hosts.last().isInStanding())
    }

    private companion object {
        fun started(seed: Long = 1): SimFleet {
            val fleet = SimFleet(hostCount = 8, seed)
            fleet.runUntil(10_000, "eight members") {
                fleet.control.record.isSettled && fleet.control.record.members.size == 8 && fleet.areAllInStanding()
            }
            fleet.propose()
            fleet.runUntil(5_000, "first revision") { fleet.hosts.all { it.revision() == 1L } }
            fleet.run(3_000)
            return fleet
        }

        fun partition(fleet: SimFleet, indexes: List<Int>) = indexes.forEach {
            fleet.host(it).partition = 1
            fleet.host(it).isPlatformUnreachable = true
        }

        fun restart(fleet: SimFleet, index: Int) {
            val host = fleet.host(index)
            host.isUp = false
            fleet.start(host.id.host.value, incarnation = 2)
        }
    }
}
