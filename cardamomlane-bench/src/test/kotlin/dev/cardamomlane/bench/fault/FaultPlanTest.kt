package dev.cardamomlane.bench.fault

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FaultPlanTest {
    private fun plan(seed: Int) = FaultPlan(seed, databaseCount = 3, targetCount = 3, daemonCount = 4)

    @Test
    fun `the same seed draws the same faults`() {
        assertEquals(plan(seed = 3).draw(runMillis = 60_000), plan(seed = 3).draw(runMillis = 60_000))
    }

    @Test
    fun `draws every kind of fault and kills one daemon at most`() {
        val faults = (1..20).flatMap { plan(it).draw(runMillis = 60_000) }.map { it.fault }

        assertEquals(12, faults.map { it::class }.distinct().size)
        for (seed in 1..20) {
            assertTrue(plan(seed).draw(runMillis = 60_000).count { it.fault is Fault.DaemonKill } <= 1)
        }
    }
}
