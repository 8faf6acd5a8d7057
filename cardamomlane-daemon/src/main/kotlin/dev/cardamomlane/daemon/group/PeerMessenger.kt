package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.failover.PeerView
import reactor.core.publisher.Flux

/** Sends requests and announcements about database groups to the other hosts. */
public interface PeerMessenger {
    /** How many peers [askViews] would ask now. */
    public fun peerCount(): Int

    /** Asks peers for their view of [database]. Completes when all have answered or [timeoutMillis] have passed. */
    public fun askViews(database: DatabaseId, timeoutMillis: Long): Flux<PeerView>

    /** Announces to every peer that [primary] is the primary of [term]. Returns at once; the message may be lost. */
    public fun announceTerm(database: DatabaseId, term: Long, primary: TargetId)
}
