package dev.cardamomlane.bench.history

/** The rate and burst of a customer over all hosts together, counted in operations. */
internal data class CustomerRate(val ratePerSecond: Double, val burst: Double)
