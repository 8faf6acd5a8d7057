package dev.cardamomlane.core.failover

/**
 * Sets the least interval between failovers of one group. Up to [UNDELAYED_CHANGES] new terms within [WINDOW_MILLIS]
 * need only [MIN_INTERVAL_MILLIS] between them, so that a second failure is repaired as fast as the first; each further
 * one doubles the interval.
 */
internal class FailoverRateLimit {
    private val changes = ArrayDeque<Long>()

    /** Records that the group has a new term. */
    fun onNewTerm(nowMillis: Long) {
        changes.addLast(nowMillis)
        if (changes.size > MAX_CHANGES) changes.removeFirst()
    }

    /** Whether another failover may begin at [nowMillis]. */
    fun allows(nowMillis: Long): Boolean {
        while (changes.isNotEmpty() && nowMillis - changes.first() > WINDOW_MILLIS) changes.removeFirst()
        val last = changes.lastOrNull() ?: return true
        val doublings = (changes.size - UNDELAYED_CHANGES).coerceAtLeast(0)
        return nowMillis - last >= MIN_INTERVAL_MILLIS shl doublings
    }

    private companion object {
        const val WINDOW_MILLIS = 30_000L
        const val MIN_INTERVAL_MILLIS = 500L
        const val UNDELAYED_CHANGES = 3

        /** Bounds the history, and so the number of doublings to five. */
        const val MAX_CHANGES = UNDELAYED_CHANGES + 5
    }
}
