package dev.cardamomlane.standin.lane.record

import dev.cardamomlane.core.LogPosition

/**
 * Finds reads that ran on a log which lacked a commit that they had to see: one that was acknowledged long enough before
 * the read was sent, to any caller, or at any time before it in the same session.
 *
 * Commits that a promotion rolled back are excused. Commits and reads count by the clock of one process, which plays all
 * callers and targets.
 */
internal class StaleReads(commits: Collection<CallerCommit>, private val history: GroupHistory) {
    private val needed = commits.filter { it.statementId !in history.rolledBackCommits }
    private val ofAll = NewestCommits(needed)
    private val bySession = needed.groupBy(CallerCommit::session).mapValues { NewestCommits(it.value) }

    /** Returns a line for each run of a read of [reads] that was too old. */
    fun find(reads: Collection<CallerRead>): List<String> = reads.flatMap { read ->
        val required = required(read) ?: return@flatMap emptyList()
        history.readsOf(read.statementId).filter { it.last == null || it.last < required }.map {
            "${read.statementId} of ${read.session}, sent at ${read.sentMillis}, ran at ${it.target} on ${it.last} " +
                "and had to see $required"
        }
    }

    private fun required(read: CallerRead): LogPosition? {
        val shared = ofAll.before(read.sentMillis - read.maxStaleMillis)
        val own = if (read.seesOwnCommits) bySession[read.session]?.before(read.sentMillis) else null
        return listOfNotNull(shared, own).maxOrNull()
    }

    /** The highest position that was acknowledged up to each moment. */
    private inner class NewestCommits(commits: Collection<CallerCommit>) {
        private val acknowledgedMillis = ArrayList<Long>()
        private val highest = ArrayList<LogPosition>()

        init {
            for (commit in commits.sortedBy(CallerCommit::acknowledgedMillis)) {
                val position = history.positionOf(commit.statementId) ?: continue
                acknowledgedMillis += commit.acknowledgedMillis
                highest += highest.lastOrNull()?.let { maxOf(it, position) } ?: position
            }
        }

        fun before(millis: Long): LogPosition? {
            val found = acknowledgedMillis.binarySearch { if (it < millis) -1 else 1 }
            return highest.getOrNull(-found - 2)
        }
    }
}
