package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.HostId
import dev.cardamomlane.wire.StartupMessage

/**
 * Knows every caller connection of this host.
 *
 * @param forwardCancel passes a cancel request that names another host on to that host
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

    /** Takes a cancel request from a caller of this host. */
    fun onCancel(request: StartupMessage.Cancel) {
        if (!cancel(request.processId, request.secretKey)) forwardCancel(request.processId, request.secretKey)
    }

    /** Cancels what a session of this host runs. Returns false if the numbers name none of them. */
    fun cancel(processId: Int, secretKey: Int): Boolean = cancelKeys.cancel(processId, secretKey)

    /** Ends every session between transactions and calls [onEmpty] once none is left. */
    fun drain(onEmpty: () -> Unit) {
        isDraining = true
        this.onEmpty = onEmpty
        connections.toList().forEach { it.drain() }
        if (connections.isEmpty()) onEmpty()
    }
}
