package dev.cardamomlane.engine.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.fleet.GroupRecords
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.UncertainAnswer

/** Counts the uncertain answers of the targets of [group], and logs at most a line a second of each kind. */
internal class UncertainAnswerLog(
    private val group: DatabaseId,
    private val timers: TimerService,
    private val log: DecisionLog,
) {
    private val counts = LongArray(UncertainAnswer.entries.size)
    private val loggedCounts = LongArray(UncertainAnswer.entries.size)
    private val loggedAtMillis = LongArray(UncertainAnswer.entries.size) { GroupRecords.NEVER }

    /** How many answers of [kind] there were. */
    fun count(kind: UncertainAnswer): Long = counts[kind.ordinal]

    /** Counts an answer of [kind] of [target]. */
    fun add(target: Target, kind: UncertainAnswer) {
        val index = kind.ordinal
        counts[index]++
        val nowMillis = timers.nowMillis()
        if (nowMillis - loggedAtMillis[index] < LOG_INTERVAL_MILLIS) return
        val count = counts[index] - loggedCounts[index]
        log.event("target", kind.event, "group", group.value, "target", target.entry.id.value, "count", count)
        loggedCounts[index] = counts[index]
        loggedAtMillis[index] = nowMillis
    }

    private companion object {
        const val LOG_INTERVAL_MILLIS = 1_000L
    }
}
