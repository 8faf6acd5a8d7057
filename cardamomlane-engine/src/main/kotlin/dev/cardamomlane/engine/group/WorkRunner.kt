package dev.cardamomlane.engine.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.target.PooledConnection
import dev.cardamomlane.engine.target.Target

/** Runs work once it has a connection. */
public interface WorkRunner {
    /** Runs [work] on [connection], which it now owns and must release or close. */
    public fun run(work: Work, target: Target, connection: PooledConnection, after: LogPosition?)

    /** Tells the caller that [work] was not run. */
    public fun refuse(work: Work, code: ErrorCode, reason: String)
}
