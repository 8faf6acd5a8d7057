package dev.cardamomlane.engine.statement

/** What a prepared statement runs. */
public data class PreparedPlan(val access: Access, val shape: String) {
    /** The name under which connections to targets prepare this plan, the same for every caller. */
    val targetName: String = (if (access == Access.READ) "r_" else "w_") + shape
}
