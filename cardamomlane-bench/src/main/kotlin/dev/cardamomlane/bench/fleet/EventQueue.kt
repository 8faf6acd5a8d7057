package dev.cardamomlane.bench.fleet

import java.util.PriorityQueue

/** Runs actions in the order of their simulated times, those of equal time in the order in which they were added. */
internal class EventQueue {
    private val entries = PriorityQueue(compareBy<Entry>({ it.atMillis }, { it.order }))
    private var order = 0L

    /** The simulated time. While an action runs it is the time of that action. */
    var nowMillis: Long = 0
        private set

    fun after(delayMillis: Long, action: () -> Unit) {
        entries.add(Entry(nowMillis + delayMillis, order++, action))
    }

    /** Runs all actions that are due up to [endMillis], those included that are added meanwhile. */
    fun runUntil(endMillis: Long) {
        while (entries.isNotEmpty() && entries.peek().atMillis <= endMillis) {
            val entry = entries.poll()
            nowMillis = entry.atMillis
            entry.action()
        }
        nowMillis = endMillis
    }

    private class Entry(val atMillis: Long, val order: Long, val action: () -> Unit)
}
