package dev.cardamomlane.engine.fleet

/**
 * Why a primary should be replaced.
 *
 * @property text the reason in words, logged with the claim
 * @property isPlanned true when the primary still answers, so that no write may be lost
 * @property sinceMillis since when the reason has applied
 * @property minDurationMillis how long it must apply before the primary is replaced
 */
internal class ReplacementReason(
    val text: String,
    val isPlanned: Boolean,
    val sinceMillis: Long,
    val minDurationMillis: Long,
)
