package dev.cardamomlane.standin.lane.target

/** Is told what happens in a database group. Calls must not block. */
internal interface GroupListener {
    /** A target has received the statement [statementId] of a caller. */
    fun onBegun(target: String, statementId: String)

    /** A target has run the statement [statementId] and answers it with [digest], though the answer may be lost. */
    fun onRun(target: String, statementId: String, digest: String, content: RunContent = RunContent())

    /** The read [statementId] runs at a target that has applied all commits up to [last], or none if that is null. */
    fun onRead(target: String, statementId: String, last: Commit?)

    /** [isLate] is true when another target had been promoted before. */
    fun onCommitted(target: String, commit: Commit, isLate: Boolean)

    /** A promotion took [commit] out of the log of [target]. */
    fun onRolledBack(target: String, commit: Commit)

    /** [target] leads [term] from now on. */
    fun onPromoted(target: String, term: Long)

    /** Something else that a reader of a run's record wants to know. */
    fun onEvent(text: String)
}
