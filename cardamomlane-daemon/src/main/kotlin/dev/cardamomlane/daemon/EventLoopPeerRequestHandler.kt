package dev.cardamomlane.daemon

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.failover.PeerView
import dev.cardamomlane.daemon.caller.CallerDesk
import dev.cardamomlane.daemon.fleet.PeerRequestHandler
import dev.cardamomlane.daemon.group.MonitoredDatabaseGroup
import java.util.concurrent.Executor

/**
 * Answers other hosts. Called on the threads of the peer links, it hands work over to [loop] and answers from what
 * [refresh] last copied.
 */
internal class EventLoopPeerRequestHandler(private val loop: Executor) : PeerRequestHandler {
    private lateinit var groups: Map<DatabaseId, MonitoredDatabaseGroup>
    private lateinit var desk: CallerDesk

    @Volatile
    private var views: Map<DatabaseId, PeerView> = emptyMap()

    /** Connects the parts that need the fleet themselves. To be called before the fleet starts. */
    fun connect(groups: List<MonitoredDatabaseGroup>, desk: CallerDesk) {
        this.groups = groups.associateBy { it.database }
        this.desk = desk
    }

    /** Copies how this host sees its groups. Called on the event loop. */
    fun refresh() {
        views = groups.mapValues { (_, group) -> group.peerView() }
    }

    override fun groupView(database: DatabaseId): PeerView? = views[database]

    override fun onNewTerm(database: DatabaseId, term: Long, primary: TargetId) =
        loop.execute { groups[database]?.onNewTerm(term, primary) }

    override fun onCancel(processId: Int, secretKey: Int) = loop.execute { desk.cancel(processId, secretKey) }
}
