package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.StatementError

/** The connection to one caller, as far as the engine writes to it. Calls after [close] have no effect. */
public interface CallerLink {
    /** Tells the caller that its session is open. */
    public fun opened()

    /** Tells the caller why no session was opened, and closes the connection. */
    public fun refuse(error: StatementError)

    /** Writes the answer to one statement. Answers are written in the order of the statements. */
    public fun answer(answer: CallerAnswer)

    /** Stops or resumes reading from the caller, so that a full queue slows the caller down. */
    public fun setReading(isReading: Boolean)

    /** Closes the connection after everything written before was sent. */
    public fun close()
}
