package dev.cardamomlane.core.fleet

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** What happens to a fleet of eight when a revision is proposed in the midst of one fault. */
class FleetFaultsTest {
    /** A fault, and how long after the proposal every host that it leaves in standing has the revision in force. */
    enum class Fault(val inForceMillis: Long, internal val strike: (SimFleet) -> Unit) {
        NONE(2_000, {}),
        PLATFORM_SLOW(5_000, { it.platformDelayMillis = 600 }),
        ANSWERS_LOST(5_000, { it.answersToLose = 2 }),
        ONE_HOST_DEAD(5_000, { it.host(3).isUp = false }),
        FIRST_POLLERS_DEAD(6_000, { fleet -> repeat(3) { fleet.host(it).isUp = false } }),
        ZONE_DEAD(5_000, { fleet -> listOf(2, 5).forEach { fleet.host(it).isUp = false } }),
        HOST_PAUSED(5_000, { it.host(4).pause(8_000) }),
        HOST_CUT_OFF(5_000, { cut(it, listOf(6)) }),
        ZONE_CUT_OFF(5_000, { cut(it, listOf(0, 1)) }),
        HOST_JOINING(5_000, { it.start("host-8") }),
        HOST_RESTARTED(5_000, { fleet -> restart(fleet, 5) }),
    }

    @ParameterizedTest
    @EnumSource(Fault::class)
    fun `a revision is in force within its bound`(fault: Fault) {
        for (seed in 1L..5L) {
            val fleet = started(seed)
            fault.strike(fleet)
            val revision = fleet.propose(burst = 16)
            val tookMillis = fleet.runUntil(fault.inForceMillis, "$fault, seed $seed: revision in force") {
                fleet.control.head.accepted == revision &&
                    fleet.hosts.filter { it.isUp && it.stands() && !it.isPaused }.all { it.revision() == revision }
            }
            fleet.run(15_000)
            assertTrue(fleet.control.head.accepted == revision && tookMillis >= 0)
        }
    }

    @Test
    fun `an outage of the platform stops nobody and nothing reverts`() {
        val fleet = started()
        fleet.isPlatformDown = true
        repeat(60) {
            fleet.run(1_000)
            assertTrue(fleet.allStand(), "all stand after ${it + 1} s without the platform")
        }
        fleet.isPlatformDown = false
        fleet.run(5_000)
        assertEquals(8, fleet.control.record.members.size)
        assertEquals(1, fleet.control.head.accepted)
    }

    @Test
    fun `a host that starts while the platform is down stays unready`() {
        val fleet = started()
        fleet.isPlatformDown = true
        restart(fleet, 2)
        fleet.run(20_000)
        assertFalse(fleet.hosts.last().stands())
        assertTrue(fleet.allStand(except = setOf(fleet.hosts.last())))
        fleet.isPlatformDown = false
        fleet.runUntil(12_000, "the new run is a member") { fleet.hosts.last().stands() }
    }

    @Test
    fun `a minority without the platform stops and the majority goes on`() {
        val fleet = started()
        fleet.isPlatformDown = true
        cut(fleet, listOf(0, 1, 2))
        fleet.run(4_000)
        assertTrue(fleet.hosts.take(3).none { it.stands() })
        assertTrue(fleet.hosts.drop(3).all { it.stands() })
    }

    @Test
    fun `equal halves without the platform both stop`() {
        val fleet = started()
        fleet.isPlatformDown = true
        cut(fleet, listOf(0, 1, 2, 3))
        fleet.run(4_000)
        assertTrue(fleet.hosts.none { it.stands() })
    }

    @Test
    fun `a dead zone leaves the record in one change`() {
        val fleet = started()
        val before = fleet.control.record.version
        listOf(2, 5, 7).forEach { fleet.host(it).isUp = false }
        fleet.runUntil(14_000, "five members settled") {
            fleet.control.record.isSettled && fleet.control.record.members.size == 5
        }
        assertEquals(before + 1, fleet.control.record.version)
        assertTrue(fleet.allStand())
    }

    @Test
    fun `a host paused past its lease does not serve on waking and joins anew`() {
        val fleet = started()
        val paused = fleet.host(4)
        paused.pause(20_000)
        fleet.run(19_999)
        assertFalse(paused.id in fleet.control.record)
        assertFalse(paused.stands())
        fleet.runUntil(12_000, "the host stands again") { paused.stands() }
    }

    @Test
    fun `all hosts replaced under the same names go on`() {
        val fleet = started()
        repeat(8) { restart(fleet, it) }
        fleet.runUntil(15_000, "the new runs stand") { fleet.allStand() }
        assertEquals(1L, fleet.host(10).revision())
    }

    @Test
    fun `an earlier run that wakes up beside its successor stops`() {
        val fleet = started()
        val earlier = fleet.host(1)
        earlier.pause(9_000)
        fleet.start("host-1", incarnation = 2)
        fleet.run(15_000)
        assertFalse(earlier.stands())
        assertTrue(fleet.hosts.last().stands())
    }

    private companion object {
        fun started(seed: Long = 1): SimFleet {
            val fleet = SimFleet(hostCount = 8, seed)
            fleet.runUntil(10_000, "eight members") {
                fleet.control.record.isSettled && fleet.control.record.members.size == 8 && fleet.allStand()
            }
            fleet.propose()
            fleet.runUntil(5_000, "first revision") { fleet.hosts.all { it.revision() == 1L } }
            fleet.run(3_000)
            return fleet
        }

        fun cut(fleet: SimFleet, indexes: List<Int>) = indexes.forEach {
            fleet.host(it).cutGroup = 1
            fleet.host(it).isPlatformCut = true
        }

        fun restart(fleet: SimFleet, index: Int) {
            val host = fleet.host(index)
            host.isUp = false
            fleet.start(host.id.host.value, incarnation = 2)
        }
    }
}
