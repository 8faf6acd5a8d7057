package dev.cardamomlane.engine.target

import dev.cardamomlane.engine.statement.TargetStatement

/** A connection to a target, possibly still being opened. Answers come in the order of the statements. */
public interface TargetLink {
    /** Sends [statement] without waiting for earlier answers. */
    public fun send(statement: TargetStatement)

    /** Closes the connection at once; the listener is not called again. */
    public fun close()
}
