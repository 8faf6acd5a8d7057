package dev.cardamomlane.standin.target

/** One open connection as its target sees it. */
internal interface TargetSession {
    /** A control connection stands outside the connection cap. */
    val isControl: Boolean

    /** Whether a transaction with writes is open. */
    val hasWrites: Boolean

    /** The number that names the session in cancel requests, or 0 before it has one. */
    val processId: Int

    /** Whether a statement of the session runs or waits for a slot. */
    val isActive: Boolean

    /** Closes the connection and rolls back. Safe to call from any thread. */
    fun drop()

    /** Ends the session but leaves the connection open without another byte. */
    fun silence()
}
