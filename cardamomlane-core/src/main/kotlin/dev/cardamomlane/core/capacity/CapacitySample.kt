package dev.cardamomlane.core.capacity

/**
 * What one member has measured at one target over its last window.
 *
 * @property running the mean number of statements that ran
 * @property answeredPerSecond answers a second
 * @property failedPerSecond of these, the ones that were failures, and statements without an answer
 * @property tookPerSecond the sum of the times of the answers of a second, in milliseconds
 * @property workPerSecond the sum of the times that the same statements would have taken at the unloaded target
 * @property limit the concurrency limit that the member uses
 */
public data class CapacitySample(
    val running: Double,
    val answeredPerSecond: Double,
    val failedPerSecond: Double,
    val tookPerSecond: Double,
    val workPerSecond: Double,
    val limit: Double,
) {
    /** How many times longer the answers took than at the unloaded target; 1 when there were none. */
    val loadRatio: Double get() = if (workPerSecond > 0) tookPerSecond / workPerSecond else 1.0
}
