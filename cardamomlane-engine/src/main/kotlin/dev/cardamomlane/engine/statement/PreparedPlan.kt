package dev.cardamomlane.engine.statement

/** What a prepared statement runs. [shape] is one word, which is sent to targets as the caller sent it. */
public data class PreparedPlan(val access: Access, val shape: String) {
    /** The name under which this plan is prepared on connections to targets, the same for every caller. */
    val targetName: String = (if (access == Access.READ) "r_" else "w_") + shape
}
