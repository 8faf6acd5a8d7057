package dev.cardamomlane.daemon.target

import dev.cardamomlane.core.queue.QueueTicket

/** One statement's place in a [TargetDispatcher], from [TargetDispatcher.submit] to [TargetDispatcher.finish] or [TargetDispatcher.cancel]. */
internal class DispatchEntry(val ticket: QueueTicket, val listener: DispatchListener) {
    var state = State.QUEUED
    var startedAtMillis = 0L

    enum class State {
        /** Waits for a slot. */
        QUEUED,

        /** Holds a slot and waits for a connection. */
        CONNECTING,

        /** Holds a slot and a connection. */
        RUNNING,

        ENDED,
    }
}
