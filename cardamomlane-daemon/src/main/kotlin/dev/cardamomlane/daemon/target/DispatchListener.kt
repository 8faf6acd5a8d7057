package dev.cardamomlane.daemon.target

/** Receives the progress of one [DispatchEntry]. */
internal interface DispatchListener {
    /** The statement got a slot and now waits for a connection. */
    fun onSlot()

    /**
     * The statement may start on [connection]. When it has ended, the listener must call [TargetDispatcher.finish] with
     * [entry].
     */
    fun onConnection(entry: DispatchEntry, connection: TargetConnection)

    /** The queue refused the statement, dropped it, or had no slot in time. The statement has not run. */
    fun onRefused(reason: String, retryAfterMillis: Long)

    /** No connection to the target could be opened. The statement has not run. */
    fun onConnectFailed(cause: Throwable)
}
