package dev.cardamomlane.bench.queue

/**
 * A customer of the simulation. Its statements arrive as a Poisson process.
 *
 * @property admittedPerSecond the rate above which its statements are refused before the queue, with a burst of two
 *   seconds of that rate; null for no bound
 */
internal data class SimulatedCustomer(
    val name: String,
    val ratePerSecond: Double,
    val priorityClass: Int,
    val weight: Int = 1,
    val admittedPerSecond: Double? = null,
)
