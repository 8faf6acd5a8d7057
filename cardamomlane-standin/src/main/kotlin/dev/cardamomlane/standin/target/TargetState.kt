package dev.cardamomlane.standin.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.standin.log.LogRecord
import dev.cardamomlane.standin.log.RecordBody

/**
 * The durable state of one target: its log, its fence and its role. It survives a crash of the target.
 *
 * A term has one primary, which alone appends records of that term; so two logs that hold a record of the same term
 * at the same offset are equal up to there. A target takes records only from a primary whose term is not below its
 * own fence. Not safe for use by several threads.
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

    val received: LogPosition get() = log.lastOrNull()?.position ?: LogPosition.START
    val applied: LogPosition get() = positionAt(appliedOffset)
    val caughtUp: Boolean get() = appliedOffset == received.offset

    /** Whether this target may commit writes now. */
    val writable: Boolean get() = role == TargetRole.PRIMARY && caughtUp

    fun status(): TargetStatus =
        TargetStatus(role, fenceTerm, fenceClaimant, received, applied, following, leaving, incarnation)

    /** Promises [claimant] to refuse writes and records below [term]. Idempotent. */
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

    /** Starts [term] with a record of its own and returns that record's position, or null if refused. Idempotent. */
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

    /** Becomes a replica of [primary] at [term]. Idempotent. */
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

    /** Appends a record that this primary has committed already. */
    fun append(body: RecordBody): LogRecord {
        check(writable) { "target $name may not append at term $fenceTerm" }
        val record = LogRecord(LogPosition(fenceTerm, received.offset + 1), body)
        log += record
        appliedOffset = record.position.offset
        return record
    }

    /** Takes [records] that follow [previous] from the primary of [term]. Returns false if refused. */
    fun receive(term: Long, primary: String, previous: LogPosition, records: List<LogRecord>): Boolean {
        if (term < fenceTerm || following != primary || received != previous) return false
        if (term > fenceTerm) raiseFence(term, claimant = "")
        log += records
        return true
    }

    /** Drops every record after [offset]. The data must be rebuilt when [appliedOffset] lay beyond it. */
    fun truncate(offset: Long) {
        require(offset in 0..received.offset) { "offset must be at most ${received.offset} but was $offset" }
        log.subList(offset.toInt(), log.size).clear()
        appliedOffset = minOf(appliedOffset, offset)
    }

    /** The last offset at which this log and [terms], the terms of another log from offset 1 on, agree. */
    fun commonPrefix(other: TargetState): Long {
        var offset = minOf(received.offset, other.received.offset)
        while (offset > 0 && positionAt(offset) != other.positionAt(offset)) offset--
        return offset
    }

    /** Notes that the replica [peer] has received up to [position] while this target was primary of [term]. */
    fun acknowledge(term: Long, peer: String, position: LogPosition) {
        if (role == TargetRole.PRIMARY && fenceTerm == term) peerPositions[peer] = position
    }

    /** How many targets, this one included, hold the log up to [position]. */
    fun countHolders(position: LogPosition): Int = 1 + peerPositions.values.count { it >= position }

    /** The records after [offset], at most [limit]. */
    fun recordsAfter(offset: Long, limit: Int): List<LogRecord> =
        log.subList(offset.toInt(), minOf(log.size.toLong(), offset + limit).toInt()).toList()

    fun markApplied(offset: Long) {
        require(offset in 0..received.offset) { "offset must be at most ${received.offset} but was $offset" }
        appliedOffset = offset
    }

    private fun positionAt(offset: Long): LogPosition =
        if (offset == 0L) LogPosition.START else log[offset.toInt() - 1].position
}
