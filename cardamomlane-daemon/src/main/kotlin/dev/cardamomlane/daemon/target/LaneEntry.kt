package dev.cardamomlane.daemon.target

import dev.cardamomlane.core.queue.QueueTicket

/** One statement's place in a [TargetLane], from [TargetLane.enter] to [TargetLane.leave] or [TargetLane.cancel]. */
internal class LaneEntry(val ticket: QueueTicket, val listener: LaneListener) {
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
