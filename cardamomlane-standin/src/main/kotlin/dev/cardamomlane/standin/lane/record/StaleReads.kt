package dev.cardamomlane.standin.lane.record

import dev.cardamomlane.core.LogPosition

/**
 * Finds reads that ran on a log which lacked a commit that they had to see: one of the same log that was acknowledged long
 * enough before the read was sent, to any caller, or at any time before it in the same session.
 *
 * Commits that a promotion rolled back are excused. Commits and reads count by the clock of one process, which plays all
 * callers and targets.
 */
internal class StaleReads(commits: Collection<CallerCommit>, private val history: GroupHistory) {
    private val needed = commits.filter { it.statementId !in history.rolledBackCommits }
    private val ofAll = byGroup(needed)
    private val bySession = needed.groupBy(CallerCommit::session).mapValues { byGroup(it.value) }

    /** Returns a line for each run of a read of [reads] that was too old. */
    fun find(reads: Collection<CallerRead>): List<String> = reads.flatMap { read ->
        history.readsOf(read.statementId).filter { isTooOld(read, it) }.map { describe(read, it) }
    }

    /** Whether [run] of [read] was too old. */
    fun isTooOld(read: CallerRead, run: ReadRun): Boolean {
        val required = required(read, run.group) ?: return false
        return run.last == null || run.last < required
    }

    /** A line that says what [read] had to see at [run]. */
    fun describe(read: CallerRead, run: ReadRun): String =
        "${read.statementId} of ${read.session}, sent at ${read.sentMillis}, ran at ${run.target} on ${run.last} " +
            "and had to see ${required(read, run.group)}"

    private fun required(read: CallerRead, group: String): LogPosition? {
        val shared = ofAll[group]?.before(read.sentMillis - read.maxStaleMillis)
        val own = if (read.seesOwnCommits) bySession[read.session]?.get(group)?.before(read.sentMillis) else null
        return listOfNotNull(shared, own).maxOrNull()
    }

    private fun byGroup(commits: Collection<CallerCommit>): Map<String, NewestCommits> = commits
        .mapNotNull { commit -> history.placeOf(commit.statementId)?.let { commit.acknowledgedMillis to it } }
        .groupBy { it.second.group }
        .mapValues { (_, ofGroup) -> NewestCommits(ofGroup.map { it.first to it.second.position }) }

    /** The highest position that was acknowledged up to each moment. */
    private class NewestCommits(commits: List<Pair<Long, LogPosition>>) {
        private val acknowledgedMillis = ArrayList<Long>()
        private val highest = ArrayList<LogPosition>()

        init {
            for ((millis, position) in commits.sortedBy { it.first }) {
                acknowledgedMillis += millis
                highest += highest.lastOrNull()?.let { maxOf(it, position) } ?: position
            }
        }

        fun before(millis: Long): LogPosition? {
            val found = acknowledgedMillis.binarySearch { if (it < millis) -1 else 1 }
            return highest.getOrNull(-found - 2)
        }
    }
}
