package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition

/**
 * Estimates how long a replica takes to apply what its primary has written.
 *
 * The estimate decides only where a read is tried first; the position check decides whether its answer counts.
 */
internal class LagEstimate {
    var millis: Double = INITIAL_MILLIS
        private set

    /** Takes in that the replica had [applied] at [atMillis], given when the primary reached its positions. */
    fun onApplied(applied: LogPosition, atMillis: Long, primary: PositionHistory) {
        val passedAtMillis = primary.passedAtMillis(applied)
        if (passedAtMillis == null) {
            millis *= CAUGHT_UP_DECAY
        } else {
            val seen = (atMillis - passedAtMillis).coerceAtLeast(0)
            millis += (seen - millis) * WEIGHT
        }
    }

    /** Takes in that the replica had not applied a position when it was expected to. */
    fun onMissed() {
        millis = (millis * MISSED_GROWTH + MISSED_STEP_MILLIS).coerceAtMost(MAX_MILLIS)
    }

    private companion object {
        const val INITIAL_MILLIS = 20.0
        const val MAX_MILLIS = 60_000.0
        const val CAUGHT_UP_DECAY = 0.97
        const val WEIGHT = 0.3
        const val MISSED_GROWTH = 1.25
        const val MISSED_STEP_MILLIS = 5.0
    }
}
