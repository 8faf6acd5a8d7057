package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.failover.PeerView
import dev.cardamomlane.daemon.fleet.RealFleet
import reactor.core.publisher.Flux

/** A [PeerCourier] over the peer links of the fleet. */
internal class FleetCourier(private val fleet: RealFleet) : PeerCourier {
    override fun peerCount(): Int = fleet.groupAskCount()

    override fun askViews(database: DatabaseId, timeoutMillis: Long): Flux<PeerView> =
        fleet.askGroupViews(database, timeoutMillis)

    override fun tellTerm(database: DatabaseId, term: Long, primary: TargetId) =
        fleet.tellNewTerm(database, term, primary)
}
