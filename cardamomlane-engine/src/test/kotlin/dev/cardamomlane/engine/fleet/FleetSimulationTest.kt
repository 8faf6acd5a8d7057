package dev.cardamomlane.engine.fleet

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Runs seeded schedules of faults over a whole fleet in manual time. Whatever the faults, no write may be run twice,
 * refused and run, or acknowledged and lost, and no read may miss a write that its consistency covers.
 */
class FleetSimulationTest {
    @Test
    fun `no schedule runs a write wrongly or serves a stale read`() {
        val findings = (1..SCHEDULES).flatMap { seed -> FleetSimulation(seed).run().map { "seed $seed: $it" } }

        assertEquals(emptyList(), findings)
    }

    @Test
    fun `no schedule does so in a fleet in which most hosts forward to members`() {
        val findings = (1..FORWARDING_SCHEDULES).flatMap { seed ->
            FleetSimulation(seed, hostCount = FORWARDING_HOSTS).run().map { "seed $seed: $it" }
        }

        assertEquals(emptyList(), findings)
    }

    @Test
    fun `the schedules replace primaries and acknowledge writes`() {
        val runs = (1..15).map { seed -> FleetSimulation(seed).also { it.run() } }

        assertTrue(runs.sumOf { it.promotionCount } >= 10, "${runs.sumOf { it.promotionCount }} promotions")
        assertTrue(runs.all { it.acknowledgedCount > 20 }, runs.map { it.acknowledgedCount }.toString())
    }

    private companion object {
        const val SCHEDULES = 30
        const val FORWARDING_SCHEDULES = 20
        const val FORWARDING_HOSTS = 20
    }
}
