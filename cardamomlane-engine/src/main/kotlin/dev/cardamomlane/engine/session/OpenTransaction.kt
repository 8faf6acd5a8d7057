package dev.cardamomlane.engine.session

/** A transaction of a caller, which runs on this host or on another one. */
internal interface OpenTransaction : Operation {
    /** True once the transaction has failed, so that it can only be ended. */
    val isFailed: Boolean

    /** Runs [statement] and calls [done] once with its outcome. The previous statement must have its outcome. */
    fun run(statement: ResolvedStatement, state: SessionState, done: (Outcome) -> Unit)

    /** Commits and calls [done] once with the outcome, which ends the transaction. */
    fun commit(id: String, state: SessionState, done: (Outcome) -> Unit)

    /** Rolls back without waiting for an answer. */
    fun rollback()

    /**
     * Ends the statement or commit under way with [ErrorCode.ABORTED][dev.cardamomlane.engine.statement.ErrorCode.ABORTED]
     * and [reason] if it is known that no target has got it. Has no effect on another one.
     */
    fun endUnsent(reason: String)

    /**
     * Ends the statement or commit under way without waiting for its answer, and rolls back. The outcome of a commit that
     * a target may have got is unknown.
     */
    fun giveUp(reason: String)
}
