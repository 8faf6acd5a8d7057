package dev.cardamomlane.engine.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.target.PooledConnection
import dev.cardamomlane.engine.target.Target

/** Runs queued work once a connection for it is free. */
public interface WorkRunner {
    /**
     * Runs [work] on [connection], which it now owns and must release or close.
     *
     * @param after the position that [target] must have applied, or null when it must be the primary
     */
    public fun run(work: Work, target: Target, connection: PooledConnection, after: LogPosition?)

    /** Ends [work], which did not run, with an error. */
    public fun refuse(work: Work, code: ErrorCode, reason: String)
}
