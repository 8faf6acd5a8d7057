package dev.cardamomlane.core.fleet

/**
 * Decides the next write of the control rows.
 *
 * Every host that reads the platform may do this: each write is conditional on the rows that were read, and the row of
 * the record is part of every write, so that a change of members and one of the configuration never cross. A change of
 * members of any size may be written at once, because the order of the records is decided by the table alone; the
 * majority of the members before it only has to hear of it.
 */
internal class Steward(
    private val self: Member,
    private val timings: FleetTimings,
    private val leases: LeaseWatch,
    private val confirmations: Confirmations,
) {
    private var lastRead: ControlRows? = null
    private var scannedMillis: Long? = null

    /** Notes the rows as the platform showed them, which the next write is conditional on. */
    fun read(rows: ControlRows) {
        lastRead = rows
    }

    fun isScanDue(nowMillis: Long): Boolean {
        val isDue = scannedMillis.let { it == null || nowMillis - it >= timings.leaseScanMillis }
        if (isDue) scannedMillis = nowMillis
        return isDue
    }

    /** The write that is due, at most one for each read. */
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
