package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.engine.group.GroupRecord

/**
 * The group records that this host knows, and the age of its proof that they are the newest.
 *
 * Proof is evidence that a host's records were the newest at some time: an answer of the store, dated by when the read
 * was sent; the proof that another host's heartbeat passes on; or heartbeats of a majority of the hosts, as old as the
 * oldest of them. The engine uses the word in this sense only.
 *
 * Proof works like a lease. A takeover promotes only after every host has confirmed the new record, or after
 * [MAX_AGE_MILLIS] have passed since the record was written and since so many hosts knew of it that every majority
 * includes one of them. So while its proof is younger than [MAX_AGE_MILLIS], a host may rely on the primary that its
 * record names.
 *
 * Not safe for use by several threads.
 */
public class GroupRecords {
    private val records = HashMap<DatabaseId, GroupRecord>()
    private val rowPositions = HashMap<DatabaseId, StorePosition>()
    private var readEpoch = StorePosition.UNKNOWN_EPOCH
    private val proofBeforeTakeoverMillis = HashMap<DatabaseId, Long>()
    private val listeners = ArrayList<(GroupRecord) -> Unit>()

    /** The time at which, by the newest proof, the records were the newest; [NEVER] without proof. */
    public var provedAtMillis: Long = NEVER
        private set

    /** Calls [listener] with each record that is new or newer than the one known before. */
    public fun onChange(listener: (GroupRecord) -> Unit) {
        listeners += listener
    }

    /** The newest known record of each group. */
    internal val all: Collection<GroupRecord> get() = records.values

    /** The record of [group], or null when no takeover of it is known. */
    public fun record(group: DatabaseId): GroupRecord? = records[group]

    /**
     * The newest position at which the row of [group] was seen in the store, with version 0 when there is no row. A
     * write of the row expects it there. It may hold an older record than [record], after the store was restored.
     */
    public fun rowPosition(group: DatabaseId): StorePosition =
        rowPositions[group]?.takeIf { it.epoch >= readEpoch } ?: StorePosition(readEpoch, version = 0)

    /** True while the proof is younger than [MAX_AGE_MILLIS]. */
    public fun isCurrent(nowMillis: Long): Boolean = nowMillis - provedAtMillis < MAX_AGE_MILLIS

    /**
     * True while no takeover can have promoted another target in place of the record's primary. The proof that counts
     * is the one from before the takeover under way, or the newest when none is; it must be younger than
     * [MAX_AGE_MILLIS].
     */
    public fun isPrimaryCertain(group: DatabaseId, nowMillis: Long): Boolean {
        val isChanging = records[group]?.isChanging == true
        val proofMillis = if (isChanging) proofBeforeTakeoverMillis[group] ?: NEVER else provedAtMillis
        return nowMillis - proofMillis < MAX_AGE_MILLIS
    }

    /** Like [learn] with the records of [rows], which were read from the store. */
    public fun learnRows(rows: ControlRows, newestAtMillis: Long) {
        readEpoch = maxOf(readEpoch, rows.epoch)
        for ((group, version) in rows.unusable.groups) {
            rowPositions.merge(group, StorePosition(rows.epoch, version), ::maxOf)
        }
        learn(rows.records, newestAtMillis)
    }

    /**
     * Applies those of the [received] records that are newer than the known ones.
     *
     * @param newestAtMillis the time at which, by proof, they were the newest; [NEVER] without proof
     */
    public fun learn(received: Collection<GroupRecord>, newestAtMillis: Long) {
        for (record in received) rowPositions.merge(record.group, record.position, ::maxOf)
        val newer = received.filter { record -> records[record.group]?.let(record::isNewerThan) ?: true }
        for (record in newer) {
            val wasChanging = records[record.group]?.isChanging == true
            if (record.isChanging && !wasChanging) proofBeforeTakeoverMillis[record.group] = provedAtMillis
            records[record.group] = record
        }
        received.filter(::isSeenLater).forEach { records[it.group] = it }
        provedAtMillis = maxOf(provedAtMillis, newestAtMillis)
        for (record in newer) listeners.forEach { it(record) }
    }

    /** True when [record] is the known one, seen at a newer position. */
    private fun isSeenLater(record: GroupRecord): Boolean {
        val known = records[record.group] ?: return false
        return record.position > known.position && !known.isNewerThan(record)
    }

    public companion object {
        /**
         * The age up to which proof counts. A takeover that lacks the confirmation of a host waits longer than this.
         * Must exceed the age at which [StoreReader] renews proof, or hosts would refuse work until the read.
         */
        public const val MAX_AGE_MILLIS: Long = 1_500

        /** A time before all others, for events that have not happened. */
        public const val NEVER: Long = Long.MIN_VALUE / 2
    }
}
