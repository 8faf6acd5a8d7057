package dev.cardamomlane.engine.target

import dev.cardamomlane.engine.statement.TargetStatement

/** An open connection to a target. Answers come in the order of the statements. */
public interface TargetLink {
    /** Sends [statement] without waiting for earlier answers. */
    public fun send(statement: TargetStatement)

    /** Closes at once; the listener hears nothing more. */
    public fun close()
}
