package dev.cardamomlane.engine.session

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.PreparedPlan
import dev.cardamomlane.engine.statement.TargetStatement

/**
 * One statement that a target must run, resolved against the session's prepared statements.
 *
 * @property plan the plan that must be prepared on the connection, or null for plain text
 */
internal class StatementRun(val id: String, val access: Access, private val text: String, val plan: PreparedPlan?) {
    fun toTarget(after: LogPosition?): TargetStatement = if (plan == null) {
        TargetStatement.Run(id, text, after)
    } else {
        TargetStatement.Execute(id, plan.targetName, text, after)
    }
}
