package dev.cardamomlane.core.failover

import dev.cardamomlane.core.ManualTimerService
import kotlin.random.Random

/** Delivers messages between named nodes with delay, loss and repetition, all from one seed. */
internal class SimulatedNetwork(private val timer: ManualTimerService, private val random: Random) {
    private val cuts = HashSet<Set<String>>()
    private val paused = HashMap<String, Backlog>()
    var lossPercent = 2

    fun cut(one: String, other: String) {
        cuts += setOf(one, other)
    }

    fun heal() = cuts.clear()

    fun isCut(one: String, other: String) = setOf(one, other) in cuts

    fun pause(node: String, millis: Long) {
        if (paused.putIfAbsent(node, Backlog()) != null) return
        timer.after(millis) { paused.remove(node)?.run { (timers + messages).forEach { it() } } }
    }

    /** Runs [action] of a timer at [node] now, or once its pause ends, before the messages that came meanwhile. */
    fun at(node: String, action: () -> Unit) {
        paused[node]?.timers?.add(action) ?: action()
    }

    private fun deliver(node: String, action: () -> Unit) {
        paused[node]?.messages?.add(action) ?: action()
    }

    fun send(from: String, to: String, action: () -> Unit) {
        if (isCut(from, to) || random.nextInt(100) < lossPercent) return
        val copies = if (random.nextInt(100) < 2) 2 else 1
        repeat(copies) {
            val delayMillis = if (random.nextInt(100) < 3) random.nextLong(300) else 1 + random.nextLong(4)
            timer.after(delayMillis) { if (!isCut(from, to)) deliver(to, action) }
        }
    }

    private class Backlog {
        val timers = ArrayList<() -> Unit>()
        val messages = ArrayList<() -> Unit>()
    }
}
