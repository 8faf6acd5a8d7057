package dev.cardamomlane.bench.fault

/** A fault with its length and its start, which counts from the start of the run. */
internal data class PlannedFault(val atMillis: Long, val lengthMillis: Long, val fault: Fault)
