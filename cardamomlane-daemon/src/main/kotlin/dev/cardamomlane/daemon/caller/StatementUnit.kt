package dev.cardamomlane.daemon.caller

/**
 * A unit: the messages of a caller that end in one ReadyForQuery, which are routed and sent to a target together. It
 * is one simple Query, or the extended-protocol messages up to and including a Sync.
 *
 * The owner of a unit owns the bytes of its frames and must call [release] once.
 */
internal class StatementUnit(val frames: List<UnitFrame>) {
    fun release() = frames.forEach { it.bytes.release() }
}
