package dev.cardamomlane.core.failover

import dev.cardamomlane.core.ManualTimerService
import kotlin.random.Random

/** Delivers messages between named endpoints, with delays, losses and duplicates drawn from [random]. */
internal class SimulatedNetwork(private val timer: ManualTimerService, private val random: Random) {
    private val partitions = HashSet<Set<String>>()
    private val paused = HashMap<String, Backlog>()
    var lossPercent = 2

    fun partition(one: String, other: String) {
        partitions += setOf(one, other)
    }

    fun heal() = partitions.clear()

    fun isPartitioned(one: String, other: String) = setOf(one, other) in partitions

    fun pause(endpoint: String, millis: Long) {
        if (paused.putIfAbsent(endpoint, Backlog()) != null) return
        timer.after(millis) { paused.remove(endpoint)?.run { (timers + messages).forEach { it() } } }
    }

    /** Runs [action] of a timer at [endpoint] now, or after its pause, before the messages that arrived meanwhile. */
    fun at(endpoint: String, action: () -> Unit) {
        paused[endpoint]?.timers?.add(action) ?: action()
    }

    private fun deliver(endpoint: String, action: () -> Unit) {
        paused[endpoint]?.messages?.add(action) ?: action()
    }

    fun send(from: String, to: String, action: () -> Unit) {
        if (isPartitioned(from, to) || random.nextInt(100) < lossPercent) return
        val copies = if (random.nextInt(100) < 2) 2 else 1
        repeat(copies) {
            val delayMillis = if (random.nextInt(100) < 3) random.nextLong(300) else 1 + random.nextLong(4)
            timer.after(delayMillis) { if (!isPartitioned(from, to)) deliver(to, action) }
        }
    }

    private class Backlog {
        val timers = ArrayList<() -> Unit>()
        val messages = ArrayList<() -> Unit>()
    }
}
