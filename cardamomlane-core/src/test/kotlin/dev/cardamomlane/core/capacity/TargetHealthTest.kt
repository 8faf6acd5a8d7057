package dev.cardamomlane.core.capacity

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TargetHealthTest {
    private val health = TargetHealth()
    private val random = Random(3)

    /** Offers a statement every 10 ms while the target takes any; returns how many it got. */
    private fun offer(fromMillis: Long, toMillis: Long, othersRate: Double = 0.0, isFailing: (Long) -> Boolean): Int {
        var sentCount = 0
        for (nowMillis in fromMillis until toMillis step 10) {
            if (health.maxRunning(nowMillis) == 0) continue
            sentCount++
            health.add(isFailing(nowMillis), othersRate, emptyList(), nowMillis)
        }
        return sentCount
    }

    @Test
    fun `a target that fails a third of its statements leaves within 1 s and gets little work`() {
        offer(0, 2_000) { false }

        offer(2_000, 3_000) { random.nextInt(3) == 0 }
        assertTrue(!health.isHealthy)
        val sentCount = offer(3_000, 13_000) { random.nextInt(3) == 0 }

        assertTrue(sentCount < 50, "$sentCount of 1000 statements were sent")
    }

    @Test
    fun `a target that goes down and up every 1400 ms gets few statements that fail`() {
        var failedCount = 0
        offer(0, 20_000) { now -> (now / 1_400 % 2 == 1L).also { if (it) failedCount++ } }

        assertTrue(failedCount < 30, "$failedCount statements failed")
    }

    @Test
    fun `errors of the statements themselves, as frequent at the other targets, take no target out of use`() {
        val sentCount = offer(0, 5_000, othersRate = 0.3) { random.nextInt(10) < 3 }

        assertEquals(500, sentCount)
    }

    @Test
    fun `a target that recovers is back in use within 5 s`() {
        offer(0, 2_000) { now -> now > 1_000 }

        offer(2_000, 7_000) { false }

        assertTrue(health.isHealthy)
    }

    @Test
    fun `a quiet member leaves after one failure when the members of its zone saw more`() {
        val peer = CapacitySample(1.0, answeredPerSecond = 20.0, failedPerSecond = 8.0, 180.0, 180.0, 4.0)

        health.add(isFailure = true, othersRate = 0.0, peers = listOf(peer), nowMillis = 0)

        assertTrue(!health.isHealthy)
    }
}
