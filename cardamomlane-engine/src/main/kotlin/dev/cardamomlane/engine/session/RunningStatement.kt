package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.statement.StatementError

/** A statement outside a transaction that has no outcome yet. */
internal interface RunningStatement : Operation {
    /** Sends the statement to no further target, as its caller has left. Drops it unless one may be running it. */
    fun cancel()

    /** Sends the statement to no further target. Ends it with [error] at once unless one may be running it. */
    fun endUnsent(error: StatementError)

    /** Ends the statement with a truthful error without waiting for an answer. */
    fun giveUp(reason: String)
}
