package dev.cardamomlane.daemon.caller

import dev.cardamomlane.daemon.target.TargetConnection
import dev.cardamomlane.daemon.target.TargetDispatcher

/**
 * An open transaction and its target connection, which no other session may use until the transaction ends.
 *
 * @property term the group's term when the transaction began
 */
internal class PinnedTransaction(
    val dispatcher: TargetDispatcher,
    val connection: TargetConnection,
    val term: Long,
    val onPrimary: Boolean,
    val readOnly: Boolean,
) {
    /** Whether a statement of the transaction may have written. */
    var hasWritten = false
    var failed = false
}
