package dev.cardamomlane.core.capacity

import dev.cardamomlane.core.queue.AdaptiveLimit
import dev.cardamomlane.core.queue.ConcurrencyLimit
import dev.cardamomlane.core.queue.FixedLimit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Compares ways to limit the concurrency of a target under the same loads, and prints the table of the design note. */
class LimitComparisonTest {
    /** Shrinks by a tenth when an answer takes more than twice the first mean, else grows by one a round. */
    private class Aimd(private val slots: Int) : ConcurrencyLimit {
        private var exactLimit = 2.0
        private var baselineMillis = Double.NaN

        override val limit: Int get() = exactLimit.toInt()

        override fun observe(serviceMillis: Double, runningCount: Int) {
            if (baselineMillis.isNaN()) baselineMillis = serviceMillis
            val isSlow = serviceMillis > baselineMillis * 2
            exactLimit = (if (isSlow) exactLimit * 0.9 else exactLimit + 1 / exactLimit).coerceIn(1.0, slots.toDouble())
        }
    }

    /** Lets one [ConcurrencyLimit] decide alone. */
    private class Limited(private val concurrency: ConcurrencyLimit) : TargetCapacity {
        private var runningCount = 0
        override val limit: Int get() = concurrency.limit
        override val serviceMillis: Double get() = 0.0
        override val health: Double get() = 1.0
        override val hasRoom: Boolean get() = runningCount < limit
        override val isInUse: Boolean get() = true
        override val totalRunningCount: Double get() = runningCount.toDouble()

        override fun expectedMillis(kind: WorkKind, nowMillis: Long): Double? = null

        override fun started(kind: WorkKind, nowMillis: Long) {
            runningCount++
        }

        override fun answered(kind: WorkKind, tookMillis: Double, isSuccess: Boolean, nowMillis: Long) {
            concurrency.observe(tookMillis, runningCount)
            runningCount--
        }

        override fun refused(kind: WorkKind, nowMillis: Long) = released(kind, nowMillis)

        override fun lost(kind: WorkKind, nowMillis: Long) = released(kind, nowMillis)

        override fun released(kind: WorkKind, nowMillis: Long) {
            runningCount--
        }
    }

    private class Result(val completedPerSecond: Double, val meanMillis: Double, val totalLimit: Double)

    private fun measure(create: (Int) -> TargetCapacity, members: Int, mix: (Random, Long) -> Double): Result {
        val target = SimulatedTarget(4.0, SLOTS)
        lateinit var run: CapacityRun
        run = CapacityRun(target, List(members) { 560.0 / members }, { mix(it, run.nowMillis) }, create = create)
        run.run(5_000)
        run.tookMillis.clear()
        val before = target.completedCount
        run.run(10_000)
        val limit = run.learned.firstOrNull()?.exactLimit ?: run.members.sumOf { it.limit }.toDouble()
        return Result((target.completedCount - before) / 10.0, run.tookMillis.average(), limit)
    }

    @Test
    fun `queueing inside the target is short and its throughput full with each load`() {
        val ways = mapOf<String, (Int) -> TargetCapacity>(
            "fixed weight (all slots)" to { Limited(FixedLimit(SLOTS)) },
            "AIMD" to { Limited(Aimd(SLOTS)) },
            "rounds of 48 (today)" to { Limited(AdaptiveLimit(SLOTS)) },
            "gradient (learned)" to { LearnedCapacity(SLOTS, "a") },
        )
        val loads = mapOf<String, Pair<Int, (Random, Long) -> Double>>(
            "9 ms, 1 member" to Pair(1) { _, _ -> 9.0 },
            "9 ms, 3 members" to Pair(3) { _, _ -> 9.0 },
            "9 ms then 47 ms, 1 member" to Pair(1) { _, now -> if (now < 8_000) 9.0 else 47.0 },
        )
        println("| load | way | answers a second | mean ms at the target | sum of limits |")
        println("|---|---|---|---|---|")
        for ((load, case) in loads) {
            val results = ways.mapValues { (_, create) -> measure(create, case.first, case.second) }
            for ((way, result) in results) {
                println(
                    "| $load | $way | %.0f | %.1f | %.1f |"
                        .format(result.completedPerSecond, result.meanMillis, result.totalLimit),
                )
            }
            val learned = results.getValue("gradient (learned)")
            val best = results.values.maxOf { it.completedPerSecond }
            assertTrue(learned.completedPerSecond >= best * 0.9, "$load: throughput")
            assertTrue(learned.meanMillis <= results.getValue("fixed weight (all slots)").meanMillis, "$load: time")
        }
    }

    private companion object {
        const val SLOTS = 16
    }
}
