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
    fun `no schedule does so when the store is restored from older copies and hosts restart`() {
        val findings = ((1..RESTORE_SCHEDULES).map { it to 5 } + SCHEDULES_ONCE_FOUND).flatMap { (seed, hostCount) ->
            val simulation = FleetSimulation(seed, hostCount, hasRestores = true)
            val found = simulation.run().map { "seed $seed: $it" }
            val fences = simulation.fences
            if (fences == fences.sorted()) found else found + "seed $seed: fences $fences"
        }

        assertEquals(emptyList(), findings)
    }

    @Test
    fun `the schedules with restorations restore, replace primaries and acknowledge writes`() {
        val runs = (1..15).map { seed -> FleetSimulation(seed, hasRestores = true).also { it.run() } }

        assertTrue(runs.sumOf { it.restoreCount } >= 30, "${runs.sumOf { it.restoreCount }} restorations")
        assertTrue(runs.sumOf { it.promotionCount } >= 10, "${runs.sumOf { it.promotionCount }} promotions")
        assertTrue(runs.all { it.acknowledgedCount > 20 }, runs.map { it.acknowledgedCount }.toString())
    }

    @Test
    fun `the schedules replace primaries and acknowledge writes`() {
        val runs = (1..15).map { seed -> FleetSimulation(seed).also { it.run() } }

        assertTrue(runs.sumOf { it.promotionCount } >= 10, "${runs.sumOf { it.promotionCount }} promotions")
        assertTrue(runs.all { it.acknowledgedCount > 20 }, runs.map { it.acknowledgedCount }.toString())
    }

    private companion object {
        const val SCHEDULES = 30
        const val RESTORE_SCHEDULES = 30

        /** Seeds and numbers of hosts that found a fault while the code or a mutation of it had one. */
        val SCHEDULES_ONCE_FOUND = listOf(
            1069 to 5, 2585 to 2, 3349 to 20, 676 to 3, 793 to 5, 542 to 6, 523 to 9, 733 to 5, 339 to 9, 1166 to 6,
            286 to 6, 657 to 5,
        )
        const val FORWARDING_SCHEDULES = 20
        const val FORWARDING_HOSTS = 20
    }
}
