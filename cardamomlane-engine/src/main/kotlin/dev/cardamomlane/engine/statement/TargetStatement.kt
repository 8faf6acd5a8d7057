package dev.cardamomlane.engine.statement

import dev.cardamomlane.core.LogPosition

/** A statement as it is sent to a target. */
public sealed interface TargetStatement {
    /**
     * Runs a caller's [text] under the caller's [id].
     *
     * @property after the target answers [ErrorCode.LAGGING] unless it has applied this position; null for no condition
     */
    public data class Run(val id: String, val text: String, val after: LogPosition?) : TargetStatement

    /** Runs the plan that is prepared as [name], under the same conditions as [Run]. */
    public data class Execute(val id: String, val name: String, val arguments: String, val after: LogPosition?) :
        TargetStatement

    /** Starts a transaction, if the target has applied [after]. */
    public data class Begin(val isReadOnly: Boolean, val after: LogPosition?) : TargetStatement

    /** Commits on behalf of the caller's statement [id]. */
    public data class Commit(val id: String) : TargetStatement

    /** Rolls back. */
    public data object Rollback : TargetStatement

    /** Sets a session value. */
    public data class SetValue(val name: String, val value: String) : TargetStatement

    /** Prepares [plan] as [name], a word without blanks. */
    public data class Prepare(val name: String, val plan: PreparedPlan) : TargetStatement

    /** Drops the plan that is prepared as [name]. */
    public data class Close(val name: String) : TargetStatement

    /** Drops all session values and prepared statements of the connection. */
    public data object Reset : TargetStatement

    /** Requests the target's role, term and log positions. */
    public data object Status : TargetStatement

    /** Makes the target a replica if it is a primary whose term is below [term]. */
    public data class Demote(val term: Long) : TargetStatement
}
