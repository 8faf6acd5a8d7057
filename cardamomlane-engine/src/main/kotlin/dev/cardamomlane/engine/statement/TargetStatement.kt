package dev.cardamomlane.engine.statement

import dev.cardamomlane.core.LogPosition

/** A statement as it is sent to a target. */
public sealed interface TargetStatement {
    /**
     * Runs a caller's [text] under the caller's [id].
     *
     * @property after the target refuses the statement unless its log holds this position
     */
    public data class Run(val id: String, val text: String, val after: LogPosition?) : TargetStatement

    /** Runs the plan prepared as [name]. */
    public data class Execute(val id: String, val name: String, val arguments: String, val after: LogPosition?) :
        TargetStatement

    /** Starts a transaction. */
    public data class Begin(val isReadOnly: Boolean, val after: LogPosition?) : TargetStatement

    /** Commits on behalf of the caller's statement [id]. */
    public data class Commit(val id: String) : TargetStatement

    /** Rolls back. */
    public data object Rollback : TargetStatement

    /** Sets a session value. */
    public data class SetValue(val name: String, val value: String) : TargetStatement

    /** Prepares a plan under its shared name. */
    public data class Prepare(val plan: PreparedPlan) : TargetStatement

    /** Drops session values and prepared statements. */
    public data object Reset : TargetStatement

    /** Asks for the target's role and positions. */
    public data object Status : TargetStatement

    /** Makes a primary of a term below [term] a replica. */
    public data class Demote(val term: Long) : TargetStatement
}
