package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition

/**
 * Requests for the minimum position of a session that wait until a majority has answered a round begun after them.
 *
 * A write that was acknowledged before the request is in the logs of a majority of the targets. That majority shares a
 * target with the majority that answers, so the highest received position among the answers covers the write.
 */
internal class MinimumPositionRequests {
    private val waiting = ArrayDeque<PendingRequest>()

    fun add(firstRound: Long, onPosition: (LogPosition) -> Unit) {
        waiting.addLast(PendingRequest(firstRound, onPosition))
    }

    /** Answers every request made before [round] began. Call it only after a majority has answered [round]. */
    fun answer(round: PollRound) {
        val minimumPosition = round.answers.values.maxOf { it.received }
        while (waiting.isNotEmpty() && waiting.first().firstRound <= round.number) {
            waiting.removeFirst().onPosition(minimumPosition)
        }
    }

    private class PendingRequest(val firstRound: Long, val onPosition: (LogPosition) -> Unit)
}
