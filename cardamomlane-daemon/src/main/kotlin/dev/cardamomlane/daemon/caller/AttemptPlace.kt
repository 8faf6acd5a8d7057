package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.group.RouteChoice
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.daemon.target.DispatchEntry
import dev.cardamomlane.daemon.target.TargetConnection
import dev.cardamomlane.daemon.target.TargetDispatcher

/**
 * The target connection on which an attempt runs, and how the attempt got it.
 *
 * @property entry the slot of the target that the attempt holds, or null inside a transaction
 * @property transaction the open transaction that the attempt continues, or null outside one
 * @property route the choice of the target, or null inside a transaction
 */
internal class AttemptPlace(
    val dispatcher: TargetDispatcher,
    val connection: TargetConnection,
    val entry: DispatchEntry? = null,
    val transaction: PinnedTransaction? = null,
    val route: RouteChoice.Use? = null,
) {
    val term: Long get() = transaction?.term ?: route?.term ?: 0
    val onPrimary: Boolean get() = transaction?.onPrimary ?: (route?.role == TargetRole.PRIMARY)
}
