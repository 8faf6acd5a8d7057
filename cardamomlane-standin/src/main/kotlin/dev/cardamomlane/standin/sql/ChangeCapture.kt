package dev.cardamomlane.standin.sql

import dev.cardamomlane.standin.log.RowChange

/**
 * Collects the row changes of one open transaction. Not safe for use by several threads.
 *
 * The engine runs triggers on the thread of the statement, so [ChangeTrigger] finds the capture in a thread-local.
 */
internal class ChangeCapture {
    private val changes = ArrayList<RowChange>()

    val size: Int get() = changes.size

    fun isEmpty(): Boolean = changes.isEmpty()

    fun add(change: RowChange) {
        changes += change
    }

    /** Drops the changes after the first [size], which the engine has rolled back. */
    fun truncate(size: Int) {
        changes.subList(size, changes.size).clear()
    }

    /** Returns the changes and clears the capture. */
    fun drain(): List<RowChange> = changes.toList().also { changes.clear() }

    /** Runs [action] on this thread and adds the row changes that it makes to this capture. */
    fun <T> captureDuring(action: () -> T): T {
        current.set(this)
        try {
            return action()
        } finally {
            current.remove()
        }
    }

    companion object {
        private val current = ThreadLocal<ChangeCapture>()

        /** The capture that is active on this thread, or null if none is, as while a log record is applied. */
        fun ofThread(): ChangeCapture? = current.get()
    }
}
