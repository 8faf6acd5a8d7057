package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.HostId
import dev.cardamomlane.wire.StartupMessage

/**
 * The registry of this host's caller connections and sessions.
 *
 * It counts them, ends them for a graceful stop and finds the session that a cancel request names.
 *
 * @param forwardCancel forwards a cancel request for a session of another host to that host
 */
internal class CallerConnections(
    host: HostId,
    val serverParameters: ServerParameters,
    private val forwardCancel: (processId: Int, secretKey: Int) -> Unit,
) {
    private val connections = HashSet<CallerStartup>()
    private val cancelKeys = CancelKeys(host)
    private val keysBySession = HashMap<CallerSession, CancelKey>()
    private var onEmpty: (() -> Unit)? = null

    var isDraining = false
        private set

    val connectionCount: Int get() = connections.size
    val sessionCount: Int get() = keysBySession.size

    fun onOpened(connection: CallerStartup) {
        connections += connection
    }

    fun onClosed(connection: CallerStartup) {
        connections -= connection
        if (connections.isEmpty()) onEmpty?.invoke()
    }

    fun onSession(session: CallerSession): CancelKey = cancelKeys.add(session).also { keysBySession[session] = it }

    fun onSessionEnd(session: CallerSession) {
        keysBySession.remove(session)?.let { cancelKeys.remove(it) }
    }

    /** Handles a cancel request from a caller: cancels here, or forwards it if it names no session of this host. */
    fun onCancel(request: StartupMessage.Cancel) {
        if (!cancel(request.processId, request.secretKey)) forwardCancel(request.processId, request.secretKey)
    }

    /**
     * Cancels what the session with [processId] runs, if [secretKey] is right.
     *
     * Returns false if no session of this host has [processId].
     */
    fun cancel(processId: Int, secretKey: Int): Boolean = cancelKeys.cancel(processId, secretKey)

    /** Ends every session as soon as it is in no transaction, and calls [onEmpty] once no connection is left. */
    fun drain(onEmpty: () -> Unit) {
        isDraining = true
        this.onEmpty = onEmpty
        connections.toList().forEach { it.drain() }
        if (connections.isEmpty()) onEmpty()
    }
}
