package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.StatementError

/** The connection of one caller, as the engine writes to it. Calls after [close] have no effect. */
public interface CallerLink {
    /** Tells the caller that its session is open. */
    public fun opened()

    /** Tells the caller why there is no session, and closes. */
    public fun refuse(error: StatementError)

    /** Writes one answer. */
    public fun answer(answer: CallerAnswer)

    /** Stops or resumes reading what the caller sends. */
    public fun setReading(isReading: Boolean)

    /** Closes the connection once everything written has left. */
    public fun close()
}
