package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.failover.PeerView
import dev.cardamomlane.daemon.fleet.FleetDriver
import reactor.core.publisher.Flux

/** A [PeerMessenger] that sends over the links of [fleet]. */
internal class FleetPeerMessenger(private val fleet: FleetDriver) : PeerMessenger {
    override fun peerCount(): Int = fleet.askedPeerCount()

    override fun askViews(database: DatabaseId, timeoutMillis: Long): Flux<PeerView> =
        fleet.askGroupViews(database, timeoutMillis)

    override fun announceTerm(database: DatabaseId, term: Long, primary: TargetId) =
        fleet.announceTerm(database, term, primary)
}
