package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.statement.StatementError

/** A statement outside a transaction that has no outcome yet. */
internal interface RunningStatement : Operation {
    /** Drops the statement if it was not sent to a target yet, as its caller has left. */
    fun cancel()

    /** Sends the statement to no further target. Ends it with [error] at once unless one may be running it. */
    fun endUnsent(error: StatementError)

    /** Ends the statement with a truthful error without waiting for an answer. */
    fun giveUp(reason: String)
}
