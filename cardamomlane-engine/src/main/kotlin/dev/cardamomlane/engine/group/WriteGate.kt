package dev.cardamomlane.engine.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.fleet.GroupRecords
import dev.cardamomlane.engine.target.Target

/**
 * The writes of one group that are under way on this host, and whether writes may be sent and acknowledged.
 *
 * A takeover waits until every host has confirmed that it does neither any more. This host confirms once its writes
 * have their answers and, in a planned takeover, its open transactions have ended; after a short grace time it stops
 * waiting for them. The confirmation binds it for every later claim of the same takeover, until a new primary is
 * published: the holder that it was given to may have ordered a promotion before it was lost.
 *
 * Not safe for use by several threads.
 *
 * @param isPrimary true for the target that is primary as far as this host knows
 */
internal class WriteGate(
    private val group: DatabaseId,
    private val records: GroupRecords,
    private val timers: TimerService,
    private val isPrimary: (Target) -> Boolean,
) {
    private val inFlightWrites = LinkedHashSet<InFlightWrite>()
    private val openTransactions = HashSet<Any>()
    private var takeoverAtMillis = GroupRecords.NEVER
    private var takeoverFence = 0L

    /** The fence of the claim that this host has confirmed in the takeover under way, or 0. */
    var confirmedFence: Long = 0
        private set

    /** Called when [confirmedFence] changes. */
    var onConfirmed: () -> Unit = {}

    /** Registers a write or commit that was sent; [resolved] must follow. */
    fun sent(write: InFlightWrite) {
        inFlightWrites += write
    }

    /** Removes [write], whose outcome is known or no longer waited for. Has no effect if it is not registered. */
    fun resolved(write: InFlightWrite) {
        if (inFlightWrites.remove(write)) confirmIfDrained()
    }

    /** Registers a transaction at the primary that may write; [ended] must follow. */
    fun opened(transaction: Any) {
        openTransactions += transaction
    }

    /** Removes [transaction], which sends no more writes. Has no effect if it is not registered. */
    fun ended(transaction: Any) {
        if (openTransactions.remove(transaction)) confirmIfDrained()
    }

    /** True when a write or commit may be sent to [target] in a transaction that is already open there. */
    fun mayCommit(target: Target): Boolean {
        val record = records.record(group)
        val isOpen = record == null || !record.isChanging || (record.isPlanned && !isConfirmed(record))
        return isOpen && mayAcknowledge(target)
    }

    /** True when a write at [target] may now be acknowledged to the caller: no other target can be primary yet. */
    fun mayAcknowledge(target: Target): Boolean {
        val record = records.record(group)
        return isPrimary(target) && records.isPrimaryCertain(group, timers.nowMillis()) &&
            (record == null || !isConfirmed(record))
    }

    /** True when another target is primary, or this host has confirmed that [target] may be replaced. */
    fun isReplaced(target: Target): Boolean =
        records.record(group)?.let { it.primary != target.entry.id || isConfirmed(it) } ?: false

    private fun isConfirmed(record: GroupRecord) = record.isChanging && confirmedFence >= record.takeoverFence

    /** A takeover was claimed with [record]. Another claim of the same one changes nothing. */
    fun onTakeover(record: GroupRecord) {
        if (record.takeoverFence == takeoverFence) return confirmIfDrained()
        takeoverFence = record.takeoverFence
        takeoverAtMillis = timers.nowMillis()
        timers.after(if (record.isPlanned) PLANNED_GRACE_MILLIS else UNPLANNED_GRACE_MILLIS) { abandonWrites(record) }
        confirmIfDrained()
    }

    /** A takeover has ended with [record]: writes at another target than its primary are abandoned. */
    fun onPublished(record: GroupRecord) {
        confirmedFence = 0
        abandonWrites(record)
    }

    private fun abandonWrites(record: GroupRecord) {
        val newest = records.record(group) ?: record
        if (newest.takeoverFence != record.takeoverFence || newest.isChanging != record.isChanging) return
        for (write in inFlightWrites.toList()) {
            if (record.isChanging || record.primary != write.target.entry.id) write.abandon()
        }
        confirmIfDrained()
    }

    private fun confirmIfDrained() {
        val record = records.record(group) ?: return
        if (!record.isChanging || isConfirmed(record) || inFlightWrites.isNotEmpty()) return
        val isGraceOver = timers.nowMillis() - takeoverAtMillis >= PLANNED_GRACE_MILLIS
        if (record.isPlanned && openTransactions.isNotEmpty() && !isGraceOver) return
        confirmedFence = record.fence
        onConfirmed()
    }

    private companion object {
        /**
         * How long after the start of a takeover writes may still wait for their answers. In a planned one, open
         * transactions may go on for as long.
         */
        const val UNPLANNED_GRACE_MILLIS = 150L
        const val PLANNED_GRACE_MILLIS = 350L
    }
}
