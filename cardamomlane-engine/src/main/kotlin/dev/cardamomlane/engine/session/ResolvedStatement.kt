package dev.cardamomlane.engine.session

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.PreparedPlan
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.target.PooledConnection

/**
 * A caller's statement that runs at a target, with the name of a prepared statement already looked up.
 *
 * @param text the statement as it is, or the arguments when [plan] is not null
 * @property plan the plan that must be prepared on the connection, or null for a statement that was not prepared
 */
internal class ResolvedStatement(val id: String, val access: Access, val text: String, val plan: PreparedPlan?) {
    /**
     * The statement to send over [connection], on which [plan] is prepared, to a target that must have applied [after];
     * null sets no condition.
     */
    fun toTarget(connection: PooledConnection, after: LogPosition?): TargetStatement = if (plan == null) {
        TargetStatement.Run(id, text, after)
    } else {
        TargetStatement.Execute(id, connection.nameOf(plan), text, after)
    }
}
