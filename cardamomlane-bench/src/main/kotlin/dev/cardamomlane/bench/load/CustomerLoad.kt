package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.CustomerKey

/**
 * The load of one customer: Poisson arrivals at a rate.
 *
 * @property writeFraction the fraction of the arrivals that write; the others read
 * @property daemonIndex the daemon that gets all arrivals, or null to draw a daemon for each
 */
internal data class CustomerLoad(
    val customer: CustomerKey,
    val ratePerSecond: Double,
    val writeFraction: Double = 0.3,
    val daemonIndex: Int? = null,
)
