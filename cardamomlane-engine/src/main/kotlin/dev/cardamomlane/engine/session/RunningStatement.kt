package dev.cardamomlane.engine.session

/** A statement outside a transaction that has no outcome yet. */
internal fun interface RunningStatement {
    /** Drops the statement if it was not sent to a target yet, as its caller has left. */
    fun cancel()
}
