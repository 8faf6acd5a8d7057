package dev.cardamomlane.core.takeover

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Runs seeded schedules, see [TakeoverSchedule]. The system property `takeover.schedules` sets how many, and
 * `takeover.seed` the first seed.
 */
class TakeoverScheduleTest {
    private val seeds = (System.getProperty("takeover.seed") ?: "1").toLong().let { first ->
        first until first + (System.getProperty("takeover.schedules") ?: "1000").toLong()
    }

    /** Guards against a promotion that loses commits which a replica had received when they were acknowledged. */
    @Test
    fun `no acknowledged commit is lost while replicas drain, lag, fall silent and leave in any order`() {
        val findings = seeds.flatMap { seed -> TakeoverSchedule(seed).run().map { "seed $seed: $it" } }

        assertEquals(emptyList(), findings)
    }

    @Test
    fun `the schedules acknowledge commits, promote targets that leave, wait for targets and give some up`() {
        val schedules = (1L..200L).map { seed -> TakeoverSchedule(seed).also { it.run() } }

        assertTrue(schedules.sumOf { it.acknowledgedCount } >= 50_000, "${schedules.sumOf { it.acknowledgedCount }}")
        assertTrue(schedules.sumOf { it.promotionCount } >= 400, "${schedules.sumOf { it.promotionCount }}")
        assertTrue(schedules.sumOf { it.leavingCount } >= 40, "${schedules.sumOf { it.leavingCount }}")
        assertTrue(schedules.sumOf { it.waitCount } >= 100, "${schedules.sumOf { it.waitCount }}")
        assertTrue(schedules.sumOf { it.givenUpCount } >= 5, "${schedules.sumOf { it.givenUpCount }}")
    }
}
