package dev.cardamomlane.core.failover

/**
 * Keeps repeated failovers of one group apart. The first few in [WINDOW_MILLIS] follow each other closely, so that a
 * second failure is healed as fast as the first; each further one doubles the interval.
 */
internal class PromotionLimit {
    private val changes = ArrayDeque<Long>()

    /** Takes in that the group has a new term. */
    fun onNewTerm(nowMillis: Long) {
        changes.addLast(nowMillis)
        if (changes.size > MAX_CHANGES) changes.removeFirst()
    }

    /** Whether another failover may begin. */
    fun allows(nowMillis: Long): Boolean {
        while (changes.isNotEmpty() && nowMillis - changes.first() > WINDOW_MILLIS) changes.removeFirst()
        val last = changes.lastOrNull() ?: return true
        val doublings = (changes.size - FREE_CHANGES).coerceAtLeast(0)
        return nowMillis - last >= MIN_INTERVAL_MILLIS shl doublings
    }

    private companion object {
        const val WINDOW_MILLIS = 30_000L
        const val MIN_INTERVAL_MILLIS = 500L
        const val FREE_CHANGES = 3
        const val MAX_CHANGES = FREE_CHANGES + 5
    }
}
