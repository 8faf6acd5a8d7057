package dev.cardamomlane.standin.sql

import dev.cardamomlane.standin.log.RowChange

/**
 * Collects the row changes of one open transaction.
 *
 * The engine's triggers run on the thread of the statement, so they find the capture of that thread.
 */
internal class ChangeCapture {
    private val changes = ArrayList<RowChange>()

    val size: Int get() = changes.size

    fun isEmpty(): Boolean = changes.isEmpty()

    fun add(change: RowChange) {
        changes += change
    }

    /** Forgets the changes after the first [size], which the engine has undone. */
    fun truncate(size: Int) {
        changes.subList(size, changes.size).clear()
    }

    /** Returns the changes and starts anew. */
    fun drain(): List<RowChange> = changes.toList().also { changes.clear() }

    /** Runs [action] with this capture as the one of its thread. */
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

        /** The capture of this thread, or null while a log record is being applied. */
        fun ofThread(): ChangeCapture? = current.get()
    }
}
