package dev.cardamomlane.core.fleet

/**
 * Decides the next write of the control rows.
 *
 * Every host that reads the platform may write. Each write is conditional on the versions of the rows that were read,
 * and the row of the member record is part of every write, so of two concurrent changes, be they of members or of the
 * configuration, only one succeeds. A change of members may replace any number of them at once, because the table alone
 * decides the order of the records; a majority of the previous members only has to learn of the change.
 */
internal class ControlWritePlanner(
    private val self: Member,
    private val timings: FleetTimings,
    private val leases: LeaseMonitor,
    private val confirmations: Confirmations,
) {
    private var lastRead: ControlRows? = null
    private var scannedAtMillis: Long? = null

    /** Records the [rows] that were read from the platform. The next write is conditional on their versions. */
    fun read(rows: ControlRows) {
        lastRead = rows
    }

    /** True if the leases should be scanned now. The next scan is then due after [FleetTimings.leaseScanMillis]. */
    fun isScanDue(nowMillis: Long): Boolean {
        val isDue = scannedAtMillis.let { it == null || nowMillis - it >= timings.leaseScanMillis }
        if (isDue) scannedAtMillis = nowMillis
        return isDue
    }

    /** Returns the write that is due, or null. Returns at most one write for each call of [read]. */
    fun next(level: KnowledgeLevel, nowMillis: Long): FleetAction? {
        val rows = lastRead ?: return null
        val new = newRows(rows, level, nowMillis) ?: return null
        lastRead = null
        return FleetAction.WriteControl(rows, new)
    }

    private fun newRows(rows: ControlRows, level: KnowledgeLevel, nowMillis: Long): ControlRows? {
        val record = rows.record
        if (record.version == 0L) return rows.copy(record = record.changedTo(listOf(self)).settled())
        if (!record.isSettled || rows.head.proposed != null) {
            return if (isEffective(rows, level, nowMillis)) effective(rows) else null
        }
        return changedMembers(rows, nowMillis)
    }

    private fun isEffective(rows: ControlRows, level: KnowledgeLevel, nowMillis: Long): Boolean {
        val isCurrent = level.recordVersion == rows.record.version && level.confirmedRevision == rows.head.highest
        if (!isCurrent) return false
        val groups = rows.record.groups
        val ended = leases.ended(rows.record.all)
        return confirmations.isComplete(groups, ended) ||
            confirmations.hasHeldQuorum(groups, ended, timings.settleMillis, nowMillis)
    }

    private fun effective(rows: ControlRows): ControlRows = rows.copy(
        record = rows.record.settled(),
        head = RevisionHead(rows.head.highest, proposed = null),
    )

    private fun changedMembers(rows: ControlRows, nowMillis: Long): ControlRows? {
        if (!leases.isCurrent(nowMillis)) return null
        val live = leases.liveMembers(rows.record.members.size, nowMillis)
        if (live.none { it.id == self.id } || live.toSet() == rows.record.members.toSet()) return null
        return rows.copy(record = rows.record.changedTo(live))
    }
}
