package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.CustomerKey

/** One statement that is to be sent at a given time, whatever became of those before. */
internal data class Arrival(
    val atMicros: Long,
    val customer: CustomerKey,
    val database: String,
    val daemonIndex: Int,
    val kind: ArrivalKind,
    val statement: String,
)
