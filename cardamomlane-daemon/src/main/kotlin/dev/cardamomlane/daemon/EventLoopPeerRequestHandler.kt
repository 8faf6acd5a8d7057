package dev.cardamomlane.daemon

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.failover.PeerView
import dev.cardamomlane.daemon.caller.CallerConnections
import dev.cardamomlane.daemon.fleet.PeerRequestHandler
import dev.cardamomlane.daemon.group.MonitoredDatabaseGroup
import java.util.concurrent.Executor

/**
 * Handles the requests of other hosts. Called on the threads of the peer links, it runs work on [loop] and answers with
 * the views that [refresh] last copied.
 */
internal class EventLoopPeerRequestHandler(private val loop: Executor) : PeerRequestHandler {
    private lateinit var groups: Map<DatabaseId, MonitoredDatabaseGroup>
    private lateinit var callerConnections: CallerConnections

    @Volatile
    private var views: Map<DatabaseId, PeerView> = emptyMap()

    /** Sets the parts that are created after the fleet driver, which needs this object. Call before its start. */
    fun connect(groups: List<MonitoredDatabaseGroup>, callerConnections: CallerConnections) {
        this.groups = groups.associateBy { it.database }
        this.callerConnections = callerConnections
    }

    /** Copies this host's views of its groups. To be called on the event loop, periodically. */
    fun refresh() {
        views = groups.mapValues { (_, group) -> group.peerView() }
    }

    override fun groupView(database: DatabaseId): PeerView? = views[database]

    override fun onNewTerm(database: DatabaseId, term: Long, primary: TargetId) =
        loop.execute { groups[database]?.onNewTerm(term, primary) }

    override fun onCancel(processId: Int, secretKey: Int) = loop.execute {
        callerConnections.cancel(processId, secretKey)
    }
}
