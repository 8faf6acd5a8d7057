package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.CustomerKey

/**
 * The load of one customer: Poisson arrivals at a rate.
 *
 * @property writeFraction the part of the arrivals that write; the others read
 * @property daemonIndex the daemon that gets all of it, or null for all daemons in turn
 */
internal data class CustomerLoad(
    val customer: CustomerKey,
    val ratePerSecond: Double,
    val writeFraction: Double = 0.3,
    val daemonIndex: Int? = null,
)
