package dev.cardamomlane.standin.target

/** One open connection as its target sees it. */
internal interface TargetSession {
    /** Whether this is a control connection, which does not count towards the connection limit of the target. */
    val isControl: Boolean

    /** Whether the session has uncommitted changes. */
    val hasWrites: Boolean

    /** The process id that cancel requests use for the session, or 0 before one is assigned. */
    val processId: Int

    /** Whether a statement of the session is running or waiting for a slot. */
    val isActive: Boolean

    /** Closes the connection and rolls back the transaction. Safe to call from any thread. */
    fun drop()

    /** Ends the session and leaves the connection open, but sends nothing more on it. */
    fun silence()
}
