package dev.cardamomlane.core.capacity

/** A class of statements that take about the same time: those of one [route] that read, or those that write. */
public data class WorkKind(val route: String, val isWrite: Boolean)
