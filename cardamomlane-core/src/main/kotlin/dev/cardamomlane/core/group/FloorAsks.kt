package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition

/**
 * Requests for a floor that wait for a majority of a round that starts after them.
 *
 * A write that was acknowledged before the request was received by a majority of the targets. That majority shares a
 * target with the majority that answers, so the highest received position among the answers covers the write.
 */
internal class FloorAsks {
    private val waiting = ArrayDeque<FloorAsk>()

    fun add(firstRound: Long, onFloor: (LogPosition) -> Unit) {
        waiting.addLast(FloorAsk(firstRound, onFloor))
    }

    /** Answers every request that [round] was started after. Call it once a majority has answered [round]. */
    fun answer(round: PollRound) {
        val floor = round.answers.values.maxOf { it.received }
        while (waiting.isNotEmpty() && waiting.first().firstRound <= round.number) {
            waiting.removeFirst().onFloor(floor)
        }
    }

    private class FloorAsk(val firstRound: Long, val onFloor: (LogPosition) -> Unit)
}
