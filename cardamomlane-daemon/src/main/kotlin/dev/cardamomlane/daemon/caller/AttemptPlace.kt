package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.group.RouteChoice
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.daemon.target.LaneEntry
import dev.cardamomlane.daemon.target.TargetConnection
import dev.cardamomlane.daemon.target.TargetLane

/**
 * Where an attempt runs.
 *
 * @property entry the slot that the attempt holds, or null inside a transaction
 * @property transaction the transaction that the attempt goes on with, or null outside one
 * @property route the route that led here, or null inside a transaction
 */
internal class AttemptPlace(
    val lane: TargetLane,
    val connection: TargetConnection,
    val entry: LaneEntry? = null,
    val transaction: PinnedTransaction? = null,
    val route: RouteChoice.Use? = null,
) {
    val term: Long get() = transaction?.term ?: route?.term ?: 0
    val onPrimary: Boolean get() = transaction?.onPrimary ?: (route?.role == TargetRole.PRIMARY)
}
