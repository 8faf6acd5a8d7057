package dev.cardamomlane.engine.fleet

/**
 * Why a primary should be replaced.
 *
 * @property isPlanned true when the primary still answers, so that it must not lose any write
 * @property text logged with the claim
 * @property sinceMillis since when the reason holds
 * @property minDurationMillis how long it must hold before the primary is replaced
 */
internal class ReplacementReason(
    val text: String,
    val isPlanned: Boolean,
    val sinceMillis: Long,
    val minDurationMillis: Long,
)
