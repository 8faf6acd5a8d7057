package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.engine.group.GroupRecord

/**
 * What this host knows of the group records, and how old the proof is that it knows the newest.
 *
 * Proof is an answer of the store, counted from the sending of the question, or the word of other hosts. A takeover
 * promotes only after every host confirmed the new record or [MAX_AGE_MILLIS] have passed since it was written. So a
 * host whose proof is younger than that may still count on the record's primary.
 *
 * Not safe for use by several threads.
 */
public class GroupRecords {
    private val records = HashMap<DatabaseId, GroupRecord>()
    private val steadyProofMillis = HashMap<DatabaseId, Long>()
    private val listeners = ArrayList<(GroupRecord) -> Unit>()

    /** The time up to which the records are proved to be the newest. */
    public var provedAtMillis: Long = NEVER
        private set

    /** Calls [listener] with each record that replaces an older one. */
    public fun onChange(listener: (GroupRecord) -> Unit) {
        listeners += listener
    }

    /** The record of [group], or null when no takeover has been recorded. */
    public fun record(group: DatabaseId): GroupRecord? = records[group]

    /** True while the records are proved to be younger than the bound. */
    public fun isCurrent(nowMillis: Long): Boolean = nowMillis - provedAtMillis < MAX_AGE_MILLIS

    /**
     * True while no takeover from the record's primary can have promoted another target: proof of the time before
     * the takeover under way, or of now when there is none, is younger than the bound.
     */
    public fun isPrimaryCertain(group: DatabaseId, nowMillis: Long): Boolean {
        val isChanging = records[group]?.isChanging == true
        val proofMillis = if (isChanging) steadyProofMillis[group] ?: NEVER else provedAtMillis
        return nowMillis - proofMillis < MAX_AGE_MILLIS
    }

    /** Takes in [fresh] records, which were the newest at [atMillis]; without proof, [atMillis] is [NEVER]. */
    public fun learn(fresh: Collection<GroupRecord>, atMillis: Long) {
        val newer = fresh.filter { it.version > (records[it.group]?.version ?: 0) }
        for (record in newer) {
            val wasChanging = records[record.group]?.isChanging == true
            if (record.isChanging && !wasChanging) steadyProofMillis[record.group] = provedAtMillis
            records[record.group] = record
        }
        provedAtMillis = maxOf(provedAtMillis, atMillis)
        for (record in newer) listeners.forEach { it(record) }
    }

    public companion object {
        /** The age up to which proof counts; with a host out of reach, a takeover takes at least as long. */
        public const val MAX_AGE_MILLIS: Long = 1_500

        /** Before every time. */
        public const val NEVER: Long = Long.MIN_VALUE / 2
    }
}
