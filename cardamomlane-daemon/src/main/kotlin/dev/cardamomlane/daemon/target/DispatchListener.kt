package dev.cardamomlane.daemon.target

/** Hears what becomes of a [DispatchEntry]. */
internal interface DispatchListener {
    /** The statement holds a slot now and waits for a connection. */
    fun onSlot()

    /** The statement may start on [connection] now, and calls [TargetDispatcher.finish] with [entry] at its end. */
    fun onConnection(entry: DispatchEntry, connection: TargetConnection)

    /** The statement was not taken or did not start in time. It has not run. */
    fun onRefused(reason: String, retryAfterMillis: Long)

    /** No connection to the target could be opened. The statement has not run. */
    fun onConnectFailed(cause: Throwable)
}
