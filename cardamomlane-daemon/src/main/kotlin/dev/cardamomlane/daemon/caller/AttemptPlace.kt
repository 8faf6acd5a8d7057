package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.group.RouteChoice
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.daemon.target.DispatchEntry
import dev.cardamomlane.daemon.target.TargetConnection
import dev.cardamomlane.daemon.target.TargetDispatcher

/**
 * Where an attempt runs.
 *
 * @property entry the slot that the attempt holds, or null inside a transaction
 * @property transaction the transaction that the attempt goes on with, or null outside one
 * @property use the route that led here, or null inside a transaction
 */
internal class AttemptPlace(
    val lane: TargetDispatcher,
    val connection: TargetConnection,
    val entry: DispatchEntry? = null,
    val transaction: PinnedTransaction? = null,
    val use: RouteChoice.Use? = null,
) {
    val term: Long get() = transaction?.term ?: use?.term ?: 0
    val onPrimary: Boolean get() = transaction?.onPrimary ?: (use?.role == TargetRole.PRIMARY)
}
