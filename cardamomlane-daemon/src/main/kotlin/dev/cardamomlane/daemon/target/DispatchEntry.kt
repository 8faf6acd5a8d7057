package dev.cardamomlane.daemon.target

import dev.cardamomlane.core.queue.QueueTicket

/**
 * One statement in a [TargetDispatcher]. It lasts from [TargetDispatcher.submit] until [TargetDispatcher.finish] or
 * [TargetDispatcher.cancel], or until the statement is refused or no connection can be opened for it.
 *
 * In this package a statement is one unit of a caller, which may consist of several SQL statements; see core's
 * `QueueTicket`.
 */
internal class DispatchEntry(val ticket: QueueTicket, val listener: DispatchListener) {
    var state = State.QUEUED
    var startedAtMillis = 0L

    enum class State {
        /** Waits in the queue for a slot of the target. */
        QUEUED,

        /** Holds a slot and waits for a connection. */
        CONNECTING,

        /** Holds a slot and a connection. */
        RUNNING,

        /** Finished, refused, cancelled or without a connection. */
        ENDED,
    }
}
