package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.CustomerKey

/**
 * One statement to send at a given time, whether or not earlier ones have been answered.
 *
 * @property atMicros the time at which to send it, from the start of the loop
 */
internal data class Arrival(
    val atMicros: Long,
    val customer: CustomerKey,
    val database: String,
    val daemonIndex: Int,
    val kind: ArrivalKind,
    val statement: String,
)
