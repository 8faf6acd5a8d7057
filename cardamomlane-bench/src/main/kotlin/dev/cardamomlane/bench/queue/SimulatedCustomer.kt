package dev.cardamomlane.bench.queue

/**
 * A customer of the simulation with its Poisson arrivals.
 *
 * @property admittedPerSecond the rate above which its work is refused before the queue, with a burst of two seconds
 */
internal data class SimulatedCustomer(
    val name: String,
    val ratePerSecond: Double,
    val priorityClass: Int,
    val weight: Int = 1,
    val admittedPerSecond: Double? = null,
)
