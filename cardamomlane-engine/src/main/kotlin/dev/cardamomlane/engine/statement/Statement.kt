package dev.cardamomlane.engine.statement

/**
 * One statement of a caller, parsed only as far as the proxy needs.
 *
 * Payloads are opaque: what a target runs is forwarded as the caller sent it.
 */
public sealed interface Statement {
    /** Starts a transaction. */
    public data class Begin(val isReadOnly: Boolean) : Statement

    /** Commits the open transaction. */
    public data object Commit : Statement

    /** Rolls back the open transaction. */
    public data object Rollback : Statement

    /** Runs [text], which is forwarded unchanged. */
    public data class Run(val access: Access, val text: String) : Statement

    /** Runs the prepared statement [name] with [arguments]. */
    public data class Execute(val name: String, val arguments: String) : Statement

    /** Runs [plan], which the session on the host that has the caller has prepared, with [arguments]. */
    public data class ExecutePlan(val plan: PreparedPlan, val arguments: String) : Statement

    /** Sets a session value. */
    public data class SetValue(val name: String, val value: String) : Statement

    /** Prepares [plan] under [name]. */
    public data class Prepare(val name: String, val plan: PreparedPlan) : Statement

    /** Drops the prepared statement [name]. */
    public data class Close(val name: String) : Statement

    /** A statement that can't be parsed or sent to a target, and why. */
    public data class Unreadable(val reason: String, val code: ErrorCode = ErrorCode.MALFORMED) : Statement
}
