package dev.cardamomlane.bench.history

/**
 * A window of time and the number of acknowledged operations of one customer in it.
 *
 * @property excess [admitted] minus the bound, which is rate times length plus burst; negative below the bound
 */
internal data class RateWindow(val admitted: Int, val lengthMicros: Long, val excess: Double)
