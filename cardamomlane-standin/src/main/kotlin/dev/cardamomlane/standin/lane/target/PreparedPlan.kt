package dev.cardamomlane.standin.lane.target

/** What a prepared name stands for. */
internal data class PreparedPlan(val isWrite: Boolean, val shape: String)
