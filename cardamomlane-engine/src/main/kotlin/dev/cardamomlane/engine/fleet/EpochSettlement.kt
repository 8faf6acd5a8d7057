package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.GroupRecord
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.log.guarded
import kotlinx.collections.immutable.toImmutableList

/**
 * Brings the control rows up to date after the store was restored from an older copy of its own.
 *
 * The copy may lack takeovers and members, so its rows prove nothing until one member has settled the epoch. That member
 * writes, in one change, what the rows lack and the row that names the epoch as settled.
 *
 * Members remember the records and the members. They keep to both meanwhile, and heartbeats of a majority still give
 * proof. The first of them whose proof is newer than the restoration writes what it knows.
 *
 * When no member settles the epoch within [UNATTENDED_MILLIS], as after a restart of all hosts, no host is sure to know
 * the newest records. Then hosts that remember nothing take the members that the copy names, and the first of them asks
 * the targets which of them is primary. Where their answers don't show it, it claims a takeover.
 *
 * Not safe for use by several threads.
 *
 * @param selfName names this incarnation of this host in records, as `host#incarnation`
 */
internal class EpochSettlement(
    private val selfName: String,
    private val fleet: Fleet,
    private val table: ControlTable,
    private val groups: () -> Collection<DatabaseGroup>,
    private val timers: TimerService,
    private val log: DecisionLog,
) {
    private val groupRecords = fleet.groupRecords
    private var unsettledEpoch = StorePosition.UNKNOWN_EPOCH
    private var unsettledSinceMillis: Long? = null
    private var isBusy = false

    /**
     * True when no member has settled the store's epoch for so long that this host goes by the rows of the copy: one
     * that remembers nothing sooner than a member, which then forgets what it knows.
     */
    fun isUnattended(nowMillis: Long): Boolean {
        val since = unsettledSinceMillis ?: return false
        return nowMillis - since >= if (fleet.isInformed) FORGET_MILLIS else UNATTENDED_MILLIS
    }

    /** Notes whether the epoch of [rows], which were just read, is settled. */
    fun onRows(rows: ControlRows) {
        if (rows.isSettled) {
            unsettledSinceMillis = null
        } else if (unsettledSinceMillis == null || rows.epoch != unsettledEpoch) {
            log.event("fleet", "epoch_unsettled", "epoch", rows.epoch, "settled", rows.settled.epoch)
            unsettledSinceMillis = timers.nowMillis()
            unsettledEpoch = rows.epoch
        }
    }

    /** Settles the epoch, or puts back what a settled one lacks, if that is this member's turn. */
    fun tick(nowMillis: Long) {
        val rows = table.rows ?: return
        if (isBusy || !fleet.agreesOnMembers(nowMillis)) return
        val since = unsettledSinceMillis ?: return putBack(rows, nowMillis)
        val unsettledMillis = nowMillis - since - fleet.rank(nowMillis) * RANK_STEP_MILLIS
        if (fleet.isInformed) {
            if (unsettledMillis >= 0 &&
                hasProofSince(since, nowMillis)
            ) {
                settle(rows, lostRecords(rows), lostSeats(rows))
            }
        } else if (unsettledMillis >= UNATTENDED_MILLIS && mayDecide(unsettledMillis, nowMillis)) {
            settleFromTargets(rows)
        }
    }

    private fun hasProofSince(sinceMillis: Long, nowMillis: Long): Boolean =
        fleet.size == 1 || (groupRecords.isCurrent(nowMillis) && groupRecords.provedAtMillis >= sinceMillis)

    /** True when the members that may remember are too few to give each other proof and serve on with it. */
    private fun mayDecide(unsettledMillis: Long, nowMillis: Long): Boolean {
        val forgetful = 1 + fleet.alivePeers(nowMillis).count { it.lastHeartbeat?.isInformed == false }
        return forgetful >= fleet.blockingCount || unsettledMillis >= TakeoverDrain.TOO_FEW_ALIVE_MILLIS
    }

    /** Writes the results of takeovers that are known from an earlier epoch and that [rows] lack. */
    private fun putBack(rows: ControlRows, nowMillis: Long) {
        val lost = lostRecords(rows).filter { !it.record.isChanging }
        if (lost.isEmpty() || fleet.rank(nowMillis) != 0 || !groupRecords.isCurrent(nowMillis)) return
        write(ControlChange(rows.settled.version, records = lost.toImmutableList()))
    }

    private fun settle(rows: ControlRows, records: List<RecordChange>, seats: List<SeatChange>) {
        log.event(
            "fleet", "epoch_settling", "epoch", rows.epoch, "records", records.size, "seats", seats.size,
            "is_from_memory", fleet.isInformed,
        )
        write(
            ControlChange(
                settledVersion = rows.settled.version,
                settledEpoch = rows.epoch,
                records = records.toImmutableList(),
                seats = seats.toImmutableList(),
            ),
        )
    }

    private fun write(change: ControlChange) {
        isBusy = true
        table.write(change).doFinally { isBusy = false }.subscribe(
            log.guarded("fleet") { outcome ->
                log.event("fleet", "rows_put_back", "outcome", outcome)
                fleet.refresh()
            },
            { failure -> log.event("fleet", "rows_not_put_back", "reason", failure.message) },
        )
    }

    private fun lostRecords(rows: ControlRows): List<RecordChange> = groupRecords.all.filter { known ->
        known.position.epoch < rows.epoch && rows.record(known.group)?.let(known::isNewerThan) ?: true
    }.map { change(it, rows) }

    private fun change(record: GroupRecord, rows: ControlRows): RecordChange =
        RecordChange(record, expectedVersion = rows.record(record.group)?.position?.version ?: 0)

    private fun lostSeats(rows: ControlRows): List<SeatChange> {
        val known = fleet.rows.associateBy { it.seat }
        val stored = rows.members.associateBy { it.seat }
        return (known.keys + stored.keys).mapNotNull { seat ->
            val member = known[seat]?.member
            val row = stored[seat]
            if (row?.member == member || isLaterRun(row?.member, member)) return@mapNotNull null
            SeatChange(seat, member, expectedVersion = row?.version ?: 0)
        }
    }

    private fun isLaterRun(stored: Member?, known: Member?): Boolean =
        stored != null && known != null && stored.name == known.name && stored.incarnation > known.incarnation

    private fun settleFromTargets(rows: ControlRows) {
        val asked = groups().filter { it.listedTargets.isNotEmpty() }
        if (asked.isEmpty() || asked.any { it.controlCustomer == null }) return
        isBusy = true
        val surveys = asked.map { PrimarySurvey(it, groupRecords.record(it.id)) }
        var left = surveys.size
        for (survey in surveys) {
            survey.run {
                left--
                if (left == 0) onSurveyed(surveys, rows)
            }
        }
    }

    private fun onSurveyed(surveys: List<PrimarySurvey>, rows: ControlRows) {
        isBusy = false
        if (!surveys.all(::hasEnoughAnswers)) return
        val corrected = surveys.filter { !it.isRecordRight }.map { recordAfter(it, rows) }
        val groups = corrected.mapTo(HashSet()) { it.group }
        val lost = lostRecords(rows).filter { it.record.group !in groups }
        settle(rows, lost + corrected.map { change(it, rows) }, seats = emptyList())
    }

    /** A silent target may be the primary. One that has failed is soon removed from the list. */
    private fun hasEnoughAnswers(survey: PrimarySurvey): Boolean {
        val since = unsettledSinceMillis ?: return false
        val unsettledMillis = timers.nowMillis() - since
        return when {
            unsettledMillis < SILENT_TARGET_MILLIS -> survey.hasAll
            unsettledMillis < TakeoverDrain.TOO_FEW_ALIVE_MILLIS -> survey.hasMajority
            else -> true
        }
    }

    /**
     * The record of the primary that [survey] found, or a claim of a takeover when it found none, or one that an order
     * to promote another target may replace. The takeover may then find a primary of the latest term that any target
     * knows, but none of an earlier one.
     */
    private fun recordAfter(survey: PrimarySurvey, rows: ControlRows): GroupRecord {
        val group = survey.group
        val known = groupRecords.record(group.id)
        val order = known?.order
        val primary = survey.primary?.takeIf { order == null || order.target == it.entry.id }
        log.event(
            "fleet", "primary_found", "group", group.id.value, "primary", primary?.entry?.id?.value,
            "recorded", known?.primary?.value, "term", survey.term,
        )
        val fence = GroupRecord.nextFence(known, rows.epoch)
        return GroupRecord(
            group = group.id,
            position = groupRecords.rowPosition(group.id),
            fence = fence,
            primary = (primary ?: group.primary)?.entry?.id ?: GroupRecord.NO_TARGET,
            isChanging = primary == null,
            isPlanned = false,
            holder = selfName,
            term = if (primary == null) maxOf(0, survey.term - 1) else survey.term,
            order = order,
            takeoverFence = known?.takeoverFenceOf(fence) ?: fence,
            startOfTerm = known?.startOfTerm,
        )
    }

    private companion object {
        /** Longer than members take to notice the restoration and to settle the epoch. */
        const val UNATTENDED_MILLIS = 1_000L

        /** How long a member waits for proof before it forgets what it knows. */
        const val FORGET_MILLIS = 2_000L

        /** For this time every listed target must answer, then more than half of them. */
        const val SILENT_TARGET_MILLIS = 6_000L

        /** A member waits this much longer for each step of [Fleet.rank]; longer than a write and a heartbeat take. */
        const val RANK_STEP_MILLIS = 300L
    }
}
