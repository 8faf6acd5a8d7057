package dev.cardamomlane.bench.history

/** The rate and burst of a customer over the whole fleet. */
internal data class CustomerRate(val ratePerSecond: Double, val burst: Double)
