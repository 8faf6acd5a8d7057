package dev.cardamomlane.engine.fleet

/**
 * Why a primary should be replaced.
 *
 * @property isPlanned true when the primary still answers and should lose nothing
 * @property sinceMillis since when the reason holds
 * @property patienceMillis how long it must hold
 */
internal class ReplacementReason(
    val text: String,
    val isPlanned: Boolean,
    val sinceMillis: Long,
    val patienceMillis: Long,
)
