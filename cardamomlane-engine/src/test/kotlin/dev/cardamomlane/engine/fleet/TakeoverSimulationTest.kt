package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.ClockReading
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Runs short seeded schedules of takeovers, see [TakeoverSimulation].
 *
 * The system property `takeover.schedules` sets how many, and `takeover.seed` the first seed.
 */
class TakeoverSimulationTest {
    private val seeds = (System.getProperty("takeover.seed") ?: "1").toLong().let { first ->
        first until first + (System.getProperty("takeover.schedules") ?: "150").toLong()
    }

    /**
     * Guards against an order that got no answer and is forgotten: a second target was ordered under the same fence, and
     * the published primary was deposed by the first order. Guards also against a confirmation that did not bind a host
     * once its takeover was claimed again, so that it acknowledged commits of the old primary.
     */
    @Test
    fun `no schedule of late and lost orders, killed holders and repeated claims breaks a rule`() {
        val findings = seeds.flatMap { seed -> TakeoverSimulation(seed).run().map { "seed $seed: $it" } }

        assertEquals(emptyList(), findings)
    }

    /** Guards against a host that wakes up and takes what it held before for current: proof, a claim, a confirmation. */
    @Test
    fun `no schedule in which hosts are frozen besides breaks a rule`() {
        val findings = seeds.flatMap { seed ->
            TakeoverSimulation(seed, hasFreezes = true).run().map { "seed $seed: $it" }
        }

        assertEquals(emptyList(), findings)
    }

    @Test
    fun `the schedules with frozen hosts find writes of a replaced primary with a clock that stops while suspended`() {
        val findings = (1L..MISLED_SCHEDULES).flatMap { seed ->
            TakeoverSimulation(seed, hasFreezes = true, clockReading = ClockReading.MONOTONIC).run()
        }

        assertTrue(findings.isNotEmpty())
    }

    @Test
    fun `the schedules order promotions and kill holders`() {
        val runs = (1L..20L).map { seed -> TakeoverSimulation(seed, hasFreezes = seed > 10).also { it.run() } }

        assertTrue(runs.sumOf { it.orderCount } >= 20, "${runs.sumOf { it.orderCount }} orders")
        assertTrue(runs.sumOf { it.killCount } >= 5, "${runs.sumOf { it.killCount }} kills")
        assertTrue(runs.sumOf { it.freezeCount } >= 50, "${runs.sumOf { it.freezeCount }} freezes")
    }

    private companion object {
        const val MISLED_SCHEDULES = 150L
    }
}
