package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition

/**
 * Estimates the replay lag of a replica: how long it takes to apply what its primary has written.
 *
 * The estimate decides only which target a read tries first. Whether the answer may be used is decided by the position
 * check, see [isFreshEnough].
 */
internal class LagEstimate {
    var millis: Double = INITIAL_MILLIS
        private set

    /**
     * Updates the estimate with an observation: at [atMillis] the replica had applied its log up to [applied].
     *
     * @param primaryHistory when the primary reached which position
     */
    fun onApplied(applied: LogPosition, atMillis: Long, primaryHistory: PositionHistory) {
        val passedAtMillis = primaryHistory.passedAtMillis(applied)
        if (passedAtMillis == null) {
            millis *= CAUGHT_UP_DECAY
        } else {
            val observedMillis = (atMillis - passedAtMillis).coerceAtLeast(0)
            millis += (observedMillis - millis) * SMOOTHING
        }
    }

    /** Raises the estimate after the replica had not applied a position by the time it was expected to. */
    fun onReplicaBehind() {
        millis = (millis * BEHIND_GROWTH + BEHIND_STEP_MILLIS).coerceAtMost(MAX_MILLIS)
    }

    private companion object {
        /** The estimate before the first observation. */
        const val INITIAL_MILLIS = 20.0
        const val MAX_MILLIS = 60_000.0

        /** Multiplies the estimate when the replica has applied all that the primary is known to have written. */
        const val CAUGHT_UP_DECAY = 0.97

        /** The weight of the newest observation. */
        const val SMOOTHING = 0.3

        /** After a replica was behind, the estimate is multiplied by this, and [BEHIND_STEP_MILLIS] is added. */
        const val BEHIND_GROWTH = 1.25
        const val BEHIND_STEP_MILLIS = 5.0
    }
}
