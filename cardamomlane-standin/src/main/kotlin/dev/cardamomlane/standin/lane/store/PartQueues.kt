package dev.cardamomlane.standin.lane.store

import dev.cardamomlane.core.TimerService

/**
 * The queues of the store's parts: the transactions of one part run one after another.
 *
 * @param transactionMillis how long a transaction of one part takes; one over several parts takes twice as long
 */
internal class PartQueues(private val timers: TimerService, private val transactionMillis: Long) {
    private val freeAtMillis = HashMap<String, Long>()

    /** Returns how long a transaction over [parts] waits and takes, or null if a queue is too long for it. */
    fun enter(parts: Set<String>): Long? {
        val nowMillis = timers.nowMillis()
        val startMillis = maxOf(nowMillis, parts.maxOfOrNull { freeAtMillis[it] ?: 0 } ?: 0)
        if (startMillis - nowMillis > MAX_WAIT_MILLIS) return null
        val endMillis = startMillis + if (parts.size > 1) 2 * transactionMillis else transactionMillis
        parts.forEach { freeAtMillis[it] = endMillis }
        return endMillis - nowMillis
    }

    private companion object {
        const val MAX_WAIT_MILLIS = 1_000L
    }
}
