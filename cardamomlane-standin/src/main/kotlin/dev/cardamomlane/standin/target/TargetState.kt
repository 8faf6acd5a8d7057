package dev.cardamomlane.standin.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.standin.log.LogRecord
import dev.cardamomlane.standin.log.RecordBody

/**
 * The durable state of one target: its log, its fence and its role. A simulated crash of the target keeps it.
 *
 * A term has one primary, and only this primary appends records of the term. Therefore two logs that hold a record of
 * the same term at the same offset are equal up to that offset. A target accepts records only from a primary whose
 * term is not below the target's own fence. Not safe for use by several threads.
 */
internal class TargetState(val name: String) {
    private val log = ArrayList<LogRecord>()
    private val peerPositions = HashMap<String, LogPosition>()

    var role = TargetRole.REPLICA
        private set
    var fenceTerm = 0L
        private set
    var fenceClaimant = ""
        private set
    var following = ""
        private set
    var appliedOffset = 0L
        private set
    var leaving = false
    var incarnation = 1L

    /** The position of the last record in the log. */
    val received: LogPosition get() = log.lastOrNull()?.position ?: LogPosition.START

    /** The position of the last record that is applied to the data. */
    val applied: LogPosition get() = positionAt(appliedOffset)
    val caughtUp: Boolean get() = appliedOffset == received.offset

    /** Whether this target may commit writes now. */
    val writable: Boolean get() = role == TargetRole.PRIMARY && caughtUp

    fun status(): TargetStatus =
        TargetStatus(role, fenceTerm, fenceClaimant, received, applied, following, leaving, incarnation)

    /**
     * Grants [term] to [claimant]. From then on the target refuses writes and records of lower terms.
     *
     * A term above the present fence makes the target a replica that follows no primary. Returns false if the fence
     * is higher than [term], or if [term] was granted to another claimant. Idempotent.
     */
    fun fence(term: Long, claimant: String): Boolean {
        if (term < fenceTerm) return false
        if (term == fenceTerm) {
            if (fenceClaimant.isEmpty()) fenceClaimant = claimant
            return fenceClaimant == claimant
        }
        raiseFence(term, claimant)
        following = ""
        return true
    }

    /**
     * Becomes the primary of [term], which must be granted to [claimant], and appends the term's first record.
     *
     * Returns the position of that record, or null if refused. Idempotent.
     */
    fun promote(term: Long, claimant: String): LogPosition? {
        if (fenceTerm != term || fenceClaimant != claimant || following.isNotEmpty()) return null
        if (role == TargetRole.PRIMARY) return log.first { it.position.term == term }.position
        role = TargetRole.PRIMARY
        peerPositions.clear()
        val record = LogRecord(LogPosition(term, received.offset + 1), RecordBody.TermStart)
        log += record
        if (appliedOffset == record.position.offset - 1) appliedOffset++
        return record.position
    }

    /** Becomes a replica of [primary] at [term]. Returns false if refused. Idempotent. */
    fun follow(term: Long, primary: String): Boolean {
        if (term < fenceTerm || primary == name) return false
        if (term == fenceTerm && role == TargetRole.PRIMARY) return false
        if (term > fenceTerm) raiseFence(term, claimant = "")
        following = primary
        return true
    }

    private fun raiseFence(term: Long, claimant: String) {
        fenceTerm = term
        fenceClaimant = claimant
        role = TargetRole.REPLICA
    }

    /** Appends a record for changes that this primary has already committed. */
    fun append(body: RecordBody): LogRecord {
        check(writable) { "target $name must be a primary that applied its whole log to append at term $fenceTerm" }
        val record = LogRecord(LogPosition(fenceTerm, received.offset + 1), body)
        log += record
        appliedOffset = record.position.offset
        return record
    }

    /** Appends [records], which follow [previous], from [primary] of [term]. Returns false if refused. */
    fun receive(term: Long, primary: String, previous: LogPosition, records: List<LogRecord>): Boolean {
        if (term < fenceTerm || following != primary || received != previous) return false
        if (term > fenceTerm) raiseFence(term, claimant = "")
        log += records
        return true
    }

    /** Drops every record after [offset]. If [appliedOffset] was higher, the caller must rebuild the data. */
    fun truncate(offset: Long) {
        require(offset in 0..received.offset) { "offset must be at most ${received.offset} but was $offset" }
        log.subList(offset.toInt(), log.size).clear()
        appliedOffset = minOf(appliedOffset, offset)
    }

    /** Returns the last offset up to which this log and the log of [other] agree. Offsets start at 1; 0 means none. */
    fun commonPrefix(other: TargetState): Long {
        var offset = minOf(received.offset, other.received.offset)
        while (offset > 0 && positionAt(offset) != other.positionAt(offset)) offset--
        return offset
    }

    /** Records that [peer] has received the log up to [position]. Ignored unless this is the primary of [term]. */
    fun acknowledge(term: Long, peer: String, position: LogPosition) {
        if (role == TargetRole.PRIMARY && fenceTerm == term) peerPositions[peer] = position
    }

    /** Returns how many targets, including this primary, hold the log up to [position]. */
    fun countHolders(position: LogPosition): Int = 1 + peerPositions.values.count { it >= position }

    /** Returns at most [limit] records that follow [offset]. */
    fun recordsAfter(offset: Long, limit: Int): List<LogRecord> =
        log.subList(offset.toInt(), minOf(log.size.toLong(), offset + limit).toInt()).toList()

    /** Sets the offset up to which the data contain the log. It may decrease when the data are rebuilt. */
    fun markApplied(offset: Long) {
        require(offset in 0..received.offset) { "offset must be at most ${received.offset} but was $offset" }
        appliedOffset = offset
    }

    private fun positionAt(offset: Long): LogPosition =
        if (offset == 0L) LogPosition.START else log[offset.toInt() - 1].position
}
