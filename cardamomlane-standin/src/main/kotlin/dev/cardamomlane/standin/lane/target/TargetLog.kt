package dev.cardamomlane.standin.lane.target

/** The commits that one target holds, in order. Not safe for use by several threads. */
internal class TargetLog {
    private val entries = ArrayList<Commit>()

    val size: Int get() = entries.size

    fun append(commit: Commit) {
        require(commit.number == size + 1) { "commit ${commit.number} does not follow the log of $size commits" }
        entries += commit
    }

    /** Returns the commit [number], counted from 1, or null if the log has none. */
    fun commitAt(number: Int): Commit? = entries.getOrNull(number - 1)

    /** Returns how many commits were made at or before [atMillis]. */
    fun countUntil(atMillis: Long): Int {
        var count = size
        while (count > 0 && entries[count - 1].committedAtMillis > atMillis) count--
        return count
    }

    /** Returns the data of [item] after the first [count] commits, or null if none of them writes it. */
    fun value(item: String, count: Int): String? {
        for (index in minOf(count, size) - 1 downTo 0) entries[index].values[item]?.let { return it }
        return null
    }

    /** Replaces all that differs from [other]. */
    fun copyFrom(other: TargetLog) {
        dropWhatDiffersFrom(other)
        entries += other.entries.subList(size, other.size)
    }

    /** Drops the end of the log from the first commit on that [other] does not have. Returns what was dropped. */
    fun dropWhatDiffersFrom(other: TargetLog): List<Commit> {
        var common = 0
        val shorter = minOf(size, other.size)
        // Logs nearly always share all but their ends, so the search begins there.
        if (shorter > 0 && entries[shorter - 1] === other.entries[shorter - 1]) {
            common = shorter
        } else {
            while (common < shorter && entries[common] === other.entries[common]) common++
        }
        val tail = entries.subList(common, size)
        val lost = tail.toList()
        tail.clear()
        return lost
    }

    fun contains(statementId: String): Boolean = entries.any { it.statementId == statementId }

    /** Returns how many commits the statement [statementId] made. */
    fun count(statementId: String): Int = entries.count { it.statementId == statementId }

    /** Returns the statements whose commits the log holds. */
    fun statementIds(): Set<String> = entries.mapTo(HashSet(), Commit::statementId)
}
