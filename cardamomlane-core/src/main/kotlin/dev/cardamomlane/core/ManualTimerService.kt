package dev.cardamomlane.core

import java.util.PriorityQueue

/**
 * A [TimerService] for tests whose time changes only in calls of [advance].
 *
 * Not thread-safe.
 */
public class ManualTimerService(private var timeMillis: Long = 0) : TimerService {
    private val entries = PriorityQueue(compareBy<Entry>({ it.dueMillis }, { it.order }))
    private var nextOrder = 0L

    override fun nowMillis(): Long = timeMillis

    override fun after(delayMillis: Long, action: () -> Unit): TimerSubscription {
        require(delayMillis >= 0) { "delayMillis must not be negative but was $delayMillis" }
        return add(Entry(dueMillis = timeMillis + delayMillis, order = nextOrder++, periodMillis = null, action))
    }

    override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription {
        require(periodMillis > 0) { "periodMillis must be positive but was $periodMillis" }
        return add(Entry(dueMillis = timeMillis + periodMillis, order = nextOrder++, periodMillis, action))
    }

    /**
     * Moves time forward by [millis] and calls each action that becomes due, in order of its due time. Actions that are
     * due at the same time are called in the order in which they were subscribed.
     */
    public fun advance(millis: Long) {
        require(millis >= 0) { "millis must not be negative but was $millis" }
        val endMillis = timeMillis + millis
        while (entries.isNotEmpty() && entries.peek().dueMillis <= endMillis) {
            run(entries.poll())
        }
        timeMillis = endMillis
    }

    private fun run(entry: Entry) {
        timeMillis = entry.dueMillis
        if (entry.periodMillis != null) {
            entry.dueMillis += entry.periodMillis
            entries.add(entry)
        }
        entry.action()
    }

    private fun add(entry: Entry): TimerSubscription {
        entries.add(entry)
        return TimerSubscription { entries.remove(entry) }
    }

    private class Entry(var dueMillis: Long, val order: Long, val periodMillis: Long?, val action: () -> Unit)
}
