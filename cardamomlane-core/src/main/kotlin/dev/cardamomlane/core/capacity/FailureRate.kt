package dev.cardamomlane.core.capacity

import kotlin.math.pow

/** Counts answers and failures of one target, of which half is forgotten every [HALF_LIFE_MILLIS]. */
internal class FailureRate {
    private var atMillis = 0L

    /** The answers and failures that are remembered. */
    var totalCount: Double = 0.0
        private set

    /** The failures that are remembered. */
    var failedCount: Double = 0.0
        private set

    /** The fraction of failures; 0 without evidence. */
    val rate: Double get() = if (totalCount > 0) failedCount / totalCount else 0.0

    /** Adds one answer. */
    fun add(isFailure: Boolean, nowMillis: Long) {
        forget(nowMillis)
        totalCount++
        if (isFailure) failedCount++
    }

    /** Forgets what has become old by [nowMillis]. */
    fun forget(nowMillis: Long) {
        val kept = 0.5.pow((nowMillis - atMillis).coerceAtLeast(0) / HALF_LIFE_MILLIS)
        totalCount *= kept
        failedCount *= kept
        atMillis = nowMillis
    }

    /** Forgets everything. */
    fun clear() {
        totalCount = 0.0
        failedCount = 0.0
    }

    private companion object {
        /** Failures of a whole second count almost in full, so that a quiet member reaches a verdict too. */
        const val HALF_LIFE_MILLIS = 1_500.0
    }
}
