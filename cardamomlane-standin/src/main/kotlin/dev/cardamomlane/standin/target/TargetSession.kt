package dev.cardamomlane.standin.target

/** One open connection as its target sees it. */
internal interface TargetSession {
    /** A control connection stands outside the connection cap. */
    val isControl: Boolean

    /** Whether a transaction with writes is open. */
    val hasWrites: Boolean

    /** Closes the connection and rolls back. Safe to call from any thread. */
    fun drop()

    /** Ends the session but leaves the connection open without another byte. */
    fun silence()
}
