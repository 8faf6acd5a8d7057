package dev.cardamomlane.daemon.caller

/**
 * The messages of a caller that end in one ReadyForQuery: a simple query, or extended messages up to a Sync.
 *
 * Whoever takes a unit owns its frames and calls [release] once.
 */
internal class StatementUnit(val frames: List<UnitFrame>) {
    fun release() = frames.forEach { it.bytes.release() }
}
