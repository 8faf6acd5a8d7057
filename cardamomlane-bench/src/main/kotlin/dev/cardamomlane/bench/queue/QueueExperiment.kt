package dev.cardamomlane.bench.queue

import dev.cardamomlane.core.queue.AdaptiveLimit
import dev.cardamomlane.core.queue.ConcurrencyLimit
import dev.cardamomlane.core.queue.FairSlotQueue
import dev.cardamomlane.core.queue.FixedLimit
import dev.cardamomlane.core.queue.SlotQueue

/** Compares queues and concurrency limits in front of one target, each under the same arrivals. */
internal class QueueExperiment(private val seed: Int, private val seconds: Int = 60) {
    /**
     * The load of eight customers, three of them large.
     *
     * @param noisy whether `small-5` sends ten times its rate
     * @param admission whether that customer is held to its rate and burst before the queue
     */
    fun customers(noisy: Boolean, admission: Boolean): List<SimulatedCustomer> =
        List(3) { SimulatedCustomer("large-${it + 1}", ratePerSecond = 125.0, priorityClass = 3, weight = 2) } +
            List(4) { SimulatedCustomer("small-${it + 1}", ratePerSecond = SMALL_RATE, priorityClass = 3) } +
            SimulatedCustomer(
                NOISY,
                ratePerSecond = if (noisy) SMALL_RATE * 10 else SMALL_RATE,
                priorityClass = 3,
                admittedPerSecond = if (admission) SMALL_RATE else null,
            )

    /**
     * The largest factor by which the noisy customer raises the p99 latency of another customer.
     *
     * @param admission whether the noisy customer is held to its rate and burst before the queue
     */
    fun worstP99Factor(hostWeights: List<Double>, admission: Boolean, queue: () -> SlotQueue): Double {
        val quiet = run(customers(noisy = false, admission), hostWeights, queue)
        val noisy = run(customers(noisy = true, admission), hostWeights, queue)
        return customers(noisy = false, admission)
            .filter { it.name != NOISY }
            .maxOf { noisy.p99Millis(it.name) / quiet.p99Millis(it.name) }
    }

    fun run(customers: List<SimulatedCustomer>, hostWeights: List<Double>, queue: () -> SlotQueue): SimulationResult =
        TargetSimulation(List(hostWeights.size) { queue() }, hostWeights, customers).run(seed, seconds)

    companion object {
        const val NOISY = "small-5"
        const val SLOTS = 5
        private const val SMALL_RATE = 45.0

        /** One host alone, eight with even load, eight with most of the load on one. */
        val HOST_LOADS: Map<String, List<Double>> =
            mapOf(
                "1 host" to listOf(1.0),
                "8 hosts, even" to List(8) { 1.0 },
                "8 hosts, skewed" to listOf(28.0) + List(7) { 1.0 },
            )

        val LIMITS: Map<String, () -> ConcurrencyLimit> =
            mapOf(
                "share of 1" to { FixedLimit(1) },
                "all 5" to { FixedLimit(SLOTS) },
                "adaptive" to { AdaptiveLimit(SLOTS) },
            )

        val QUEUES: Map<String, (ConcurrencyLimit) -> SlotQueue> =
            mapOf("fifo" to ::FifoQueue, "fair" to { FairSlotQueue(it) })
    }
}
