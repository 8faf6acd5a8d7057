package dev.cardamomlane.core.capacity

/**
 * What one member has measured at one target over its last window.
 *
 * @property running the mean number of statements that ran
 * @property answeredPerSecond answers a second
 * @property failedPerSecond the failures among them, which include statements that got no answer
 * @property tookMillisPerSecond the time that the successful answers of a second took, in all
 * @property workMillisPerSecond the time that the same statements would have taken at the unloaded target
 * @property limit the concurrency limit that the member uses
 */
public data class CapacitySample(
    val running: Double,
    val answeredPerSecond: Double,
    val failedPerSecond: Double,
    val tookMillisPerSecond: Double,
    val workMillisPerSecond: Double,
    val limit: Double,
) {
    /** How many times longer the answers took than at the unloaded target; 1 when there were none. */
    val loadRatio: Double get() = if (workMillisPerSecond > 0) tookMillisPerSecond / workMillisPerSecond else 1.0
}
