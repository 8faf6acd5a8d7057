package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.core.TimerService

/**
 * The slots of one target: at most [slotCount] tasks run at once, and at most [maxWaiting] wait, first in, first out.
 *
 * Not safe for use by several threads.
 */
internal class SlotQueue(private val slotCount: Int, private val maxWaiting: Int, private val timers: TimerService) {
    private class Task(val millis: Long, val onEnd: () -> Unit)

    private val waiting = ArrayDeque<Task>()

    /** How many tasks run. */
    var busyCount = 0
        private set

    /** Calls [onEnd] when the task has held a slot for [millis]. Returns false, without a call, if too many wait. */
    fun submit(millis: Long, onEnd: () -> Unit): Boolean {
        val task = Task(millis, onEnd)
        when {
            busyCount < slotCount -> run(task)
            waiting.size < maxWaiting -> waiting += task
            else -> return false
        }
        return true
    }

    private fun run(task: Task) {
        busyCount++
        timers.after(task.millis) {
            busyCount--
            waiting.removeFirstOrNull()?.let(::run)
            task.onEnd()
        }
    }
}
