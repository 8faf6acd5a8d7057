package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.failover.PeerView
import reactor.core.publisher.Flux

/** Carries questions and news about groups to other daemons. */
public interface PeerMessenger {
    /** How many peers [askViews] asks. */
    public fun peerCount(): Int

    /** Asks peers how they see [database]. Completes when all have answered or [timeoutMillis] have passed. */
    public fun askViews(database: DatabaseId, timeoutMillis: Long): Flux<PeerView>

    /** Tells every peer that [primary] leads [term]. */
    public fun announceTerm(database: DatabaseId, term: Long, primary: TargetId)
}
