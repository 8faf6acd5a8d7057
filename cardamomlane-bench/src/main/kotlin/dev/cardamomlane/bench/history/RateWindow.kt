package dev.cardamomlane.bench.history

/**
 * A window of time and what one customer got in it.
 *
 * @property excess admitted operations above rate times length plus burst; negative when below
 */
internal data class RateWindow(val admitted: Int, val lengthMicros: Long, val excess: Double)
