package dev.cardamomlane.core.capacity

import kotlin.math.abs
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class LearnedCapacityTest {
    private fun assertWithin(part: Double, expected: Double, actual: Double, name: String) =
        assertTrue(abs(actual - expected) <= expected * part, "$name: $actual, expected $expected")

    @Test
    fun `load beyond the capacity, the limit is within a tenth of the capacity after 3 s`() {
        for (capacity in listOf(2.0, 4.0, 6.0, 10.0)) {
            for (seed in 1..5) {
                val target = SimulatedTarget(capacity, slots = 16, seed)
                val run = CapacityRun(target, listOf(capacity * 140), workMillis = { 9.0 })

                run.run(3_000)

                assertWithin(0.1, capacity, run.learned[0].exactLimit, "capacity $capacity, seed $seed")
            }
        }
    }

    @Test
    fun `a target that becomes five times slower is noticed within 1 s and again when it recovers within 3 s`() {
        val target = SimulatedTarget(5.0, slots = 6)
        val run = CapacityRun(target, listOf(700.0), workMillis = { 9.0 })
        run.run(5_000)
        val capacity = run.learned[0]
        val kind = WorkKind("route-9", isWrite = false)

        target.speed = 0.2
        val noticedMillis = run.millisUntil(3_000) { capacity.expectedMillis(kind, run.nowMillis)!! > 30 }
        run.run(6_000)
        target.speed = 1.0
        val recoveredMillis =
            run.millisUntil(6_000) {
                capacity.expectedMillis(kind, run.nowMillis)!! < 13 && capacity.exactLimit >= 4.5
            }

        assertTrue(noticedMillis <= 1_000, "noticed after $noticedMillis ms")
        assertTrue(recoveredMillis <= 3_000, "recovered after $recoveredMillis ms")
    }

    @Test
    fun `a target whose parallel work falls to a fifth has a limit near it within 1 s and recovers within 3 s`() {
        val target = SimulatedTarget(10.0, slots = 16)
        val run = CapacityRun(target, listOf(1_400.0), workMillis = { 9.0 })
        run.run(5_000)
        val capacity = run.learned[0]

        target.parallelCount = 2.0
        val noticedMillis = run.millisUntil(3_000) { capacity.exactLimit < 4 }
        run.run(6_000)
        assertWithin(0.1, 2.0, capacity.exactLimit, "limit of the slow target")
        target.parallelCount = 10.0
        val recoveredMillis = run.millisUntil(6_000) { capacity.exactLimit >= 9 }

        assertTrue(noticedMillis <= 1_000, "noticed after $noticedMillis ms")
        assertTrue(recoveredMillis <= 3_000, "recovered after $recoveredMillis ms")
    }

    @Test
    fun `a mix that shifts from 9 ms to 47 ms statements moves the limit by at most a tenth`() {
        val target = SimulatedTarget(5.0, slots = 12)
        val run = CapacityRun(target, listOf(800.0), workMillis = { 9.0 })
        run.run(5_000)
        val before = run.learned[0].exactLimit

        run.perSecond = listOf(180.0)
        run.workMillis = { 47.0 }
        var maxMove = 0.0
        run.millisUntil(6_000) {
            maxMove = maxOf(maxMove, abs(run.learned[0].exactLimit - before) / before)
            false
        }

        assertTrue(maxMove <= 0.1, "the limit moved by $maxMove of $before")
    }

    @Test
    fun `three members that see a tenth of the answers each agree within a tenth`() {
        val target = SimulatedTarget(6.0, slots = 16)
        val run = CapacityRun(target, listOf(620.0, 90.0, 90.0, 90.0), workMillis = { 9.0 })

        run.run(5_000)

        val limits = run.learned.map { it.exactLimit }
        assertTrue(limits.max() <= limits.min() * 1.1, "limits $limits")
    }

    @Test
    fun `a slow network path to one zone makes the target slow only for callers of that zone`() {
        val target = SimulatedTarget(6.0, slots = 12)
        val run = CapacityRun(target, listOf(150.0, 150.0), workMillis = { 9.0 }, zones = listOf("a", "b"))
        run.run(4_000)
        val limitBefore = run.learned[0].exactLimit

        run.pathMillis["b"] = 80.0
        run.run(1_500)

        val kind = WorkKind("route-9", isWrite = false)
        val expected = run.learned.map { it.expectedMillis(kind, run.nowMillis)!! }
        assertTrue(expected[0] < 14 && expected[1] > 60, "expected $expected")
        assertTrue(run.learned[0].exactLimit >= limitBefore - 1, "limit fell to ${run.learned[0].exactLimit}")
    }

    @Test
    fun `without reports a member decides alone, and a silent member's running count is dropped after 1 s`() {
        val target = SimulatedTarget(4.0, slots = 12)
        val run = CapacityRun(target, listOf(300.0, 300.0), workMillis = { 9.0 })
        run.run(3_000)
        assertTrue(run.learned[0].totalRunningCount > 2.5, "no report counted")

        run.cutMembers += 1
        run.run(1_100)

        assertEquals(run.learned[0].totalRunningCount, run.learned[0].totalRunningCount.toInt().toDouble())
    }

    @Test
    fun `a member that restarts takes the limit of its peers`() {
        val target = SimulatedTarget(8.0, slots = 16)
        val run = CapacityRun(target, listOf(500.0, 500.0, 500.0), workMillis = { 9.0 })
        run.run(4_000)

        val restarted = LearnedCapacity(target.slots, "a")
        run.members[2] = restarted
        val found = run.learned[0].exactLimit
        run.run(300)

        assertWithin(0.15, found, restarted.exactLimit, "limit after the restart")
    }

    @Test
    fun `a limit found is probed by a little only, so that answers stay fast`() {
        val target = SimulatedTarget(4.0, slots = 16)
        val run = CapacityRun(target, listOf(600.0), workMillis = { 9.0 })
        run.run(4_000)
        run.tookMillis.clear()

        run.run(10_000)

        val mean = run.tookMillis.average()
        assertTrue(mean < 9 * 1.2, "mean time of an answer $mean ms")
    }

    @Test
    fun `a load within the capacity keeps a target that is healthy in use`() {
        val target = SimulatedTarget(6.0, slots = 6)
        val run = CapacityRun(target, listOf(300.0), workMillis = { 9.0 })

        run.run(10_000)

        assertTrue(run.learned[0].isInUse)
        assertFalse(run.learned[0].health < 1)
    }
}
