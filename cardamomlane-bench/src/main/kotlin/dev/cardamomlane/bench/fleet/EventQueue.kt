package dev.cardamomlane.bench.fleet

import java.util.PriorityQueue

/** Runs actions in the order of their simulated times. */
internal class EventQueue {
    private val entries = PriorityQueue(compareBy<Entry>({ it.atMillis }, { it.order }))
    private var order = 0L

    /** The time of the action that runs. */
    var nowMillis: Long = 0
        private set

    fun after(delayMillis: Long, action: () -> Unit) {
        entries.add(Entry(nowMillis + delayMillis, order++, action))
    }

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
