package dev.cardamomlane.engine.statement

/** What a prepared statement runs. [shape] is sent to targets as the caller sent it; it may hold any character. */
public data class PreparedPlan(val access: Access, val shape: String)
