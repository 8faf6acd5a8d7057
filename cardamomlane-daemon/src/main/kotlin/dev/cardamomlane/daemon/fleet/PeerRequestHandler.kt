package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.failover.PeerView

/** What this host answers and does for other hosts, besides the fleet's own messages. Must not block. */
public interface PeerRequestHandler {
    /** How this host sees [database], or null when it does not serve it. The host in the view is this one. */
    public fun groupView(database: DatabaseId): PeerView?

    /** Another host tells that [primary] leads [database] in [term]. */
    public fun onNewTerm(database: DatabaseId, term: Long, primary: TargetId)

    /** A cancel request for a session of this host arrived at another one. */
    public fun onCancel(processId: Int, secretKey: Int)
}
