package dev.cardamomlane.core.capacity

import kotlin.math.pow

/** Counts the recent answers and failures of one target. The counts decay with a half-life of [HALF_LIFE_MILLIS]. */
internal class FailureRate {
    private var atMillis = 0L

    /** The decayed count of answers, failures included. */
    var totalCount: Double = 0.0
        private set

    /** The decayed count of failures. */
    var failedCount: Double = 0.0
        private set

    /** The fraction of failures; 0 without answers. */
    val rate: Double get() = if (totalCount > 0) failedCount / totalCount else 0.0

    /** Adds one answer. */
    fun add(isFailure: Boolean, nowMillis: Long) {
        decay(nowMillis)
        totalCount++
        if (isFailure) failedCount++
    }

    /** Lets the counts decay until [nowMillis]. */
    fun decay(nowMillis: Long) {
        val kept = 0.5.pow((nowMillis - atMillis).coerceAtLeast(0) / HALF_LIFE_MILLIS)
        totalCount *= kept
        failedCount *= kept
        atMillis = nowMillis
    }

    /** Sets both counts to zero. */
    fun clear() {
        totalCount = 0.0
        failedCount = 0.0
    }

    private companion object {
        /** Long enough that failures a second apart add up, so that a member with few statements reacts to them too. */
        const val HALF_LIFE_MILLIS = 1_500.0
    }
}
