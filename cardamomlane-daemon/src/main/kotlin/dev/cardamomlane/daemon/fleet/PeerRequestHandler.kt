package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.failover.PeerView

/** Handles the requests of other hosts that are not part of the fleet's own protocol. No call may block. */
public interface PeerRequestHandler {
    /** Returns this host's view of [database], or null when it does not serve it. The host in the view is this one. */
    public fun groupView(database: DatabaseId): PeerView?

    /** Another host announced that [primary] is the primary of [database] in [term]. */
    public fun onNewTerm(database: DatabaseId, term: Long, primary: TargetId)

    /** Another host forwarded a cancel request that may be for a session of this host. */
    public fun onCancel(processId: Int, secretKey: Int)
}
