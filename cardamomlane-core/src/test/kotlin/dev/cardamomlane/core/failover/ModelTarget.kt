package dev.cardamomlane.core.failover

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.core.group.TargetStatus

internal data class ModelRecord(val position: LogPosition, val write: Int?)

internal class PendingWrite(val record: ModelRecord, val acknowledge: (LogPosition) -> Unit)

/** The mechanisms that the simulation can run without, to see its checks fail. */
internal data class Mechanisms(
    val majorityConfirms: Boolean = true,
    val fenceStopsOldTerms: Boolean = true,
    val oneClaimantATerm: Boolean = true,
    val highestIsPromoted: Boolean = true,
    val platformAnswers: Boolean = true,
)

/** A target as the contract of target control describes it, reduced to its log and its fence. */
internal class ModelTarget(val id: TargetId, private val mechanisms: Mechanisms) {
    val log = ArrayList<ModelRecord>()
    val pending = ArrayList<PendingWrite>()
    var role = TargetRole.REPLICA
    var fenceTerm = 1L
    var following: TargetId? = null
    private var claimant = ""
    private val held = HashMap<TargetId, LogPosition>()

    val received: LogPosition get() = log.lastOrNull()?.position ?: LogPosition.START

    fun status() = TargetStatus(role, fenceTerm, claimant, received, received, following)

    fun fence(term: Long, by: String): Boolean {
        if (term < fenceTerm) return false
        if (term == fenceTerm) return claimant == by || !mechanisms.oneClaimantATerm
        raise(term, by)
        if (mechanisms.fenceStopsOldTerms) following = null
        return true
    }

    fun promote(term: Long, by: String): Boolean {
        val mayLead = fenceTerm == term && (claimant == by || !mechanisms.oneClaimantATerm)
        if (!mayLead || (following != null && mechanisms.fenceStopsOldTerms)) return false
        if (role == TargetRole.PRIMARY && received.term == term) return true
        role = TargetRole.PRIMARY
        following = null
        held.clear()
        log += ModelRecord(LogPosition(term, received.offset + 1), write = null)
        return true
    }

    fun follow(term: Long, primary: TargetId): Boolean {
        val leads = role == TargetRole.PRIMARY && term == fenceTerm
        if (term < fenceTerm || primary == id || leads) return false
        if (term > fenceTerm) raise(term, by = "")
        role = TargetRole.REPLICA
        following = primary
        return true
    }

    private fun raise(term: Long, by: String) {
        fenceTerm = term
        claimant = by
        if (!mechanisms.fenceStopsOldTerms) return
        role = TargetRole.REPLICA
        pending.clear()
    }

    fun append(write: Int, acknowledge: (LogPosition) -> Unit): Boolean {
        if (role != TargetRole.PRIMARY) return false
        val record = ModelRecord(LogPosition(received.term, received.offset + 1), write)
        log += record
        if (mechanisms.majorityConfirms) pending += PendingWrite(record, acknowledge) else acknowledge(record.position)
        return true
    }

    fun receiveFrom(primary: ModelTarget) {
        val isStale = mechanisms.fenceStopsOldTerms && primary.fenceTerm < fenceTerm
        if (role == TargetRole.PRIMARY || primary.role != TargetRole.PRIMARY || isStale) return
        var common = minOf(log.size, primary.log.size)
        while (common > 0 && log[common - 1] != primary.log[common - 1]) common--
        while (log.size > common) log.removeLast()
        log += primary.log.subList(common, primary.log.size)
        fenceTerm = maxOf(fenceTerm, primary.fenceTerm)
        primary.held[id] = received
    }

    fun confirm(majority: Int) {
        val (confirmed, rest) = pending.partition { write ->
            1 + held.values.count { it >= write.record.position } >= majority
        }
        pending.clear()
        pending += rest
        confirmed.forEach { it.acknowledge(it.record.position) }
    }

    companion object {
        fun bootstrap(ids: List<TargetId>, mechanisms: Mechanisms): List<ModelTarget> {
            val targets = ids.map { ModelTarget(it, mechanisms) }
            targets.first().role = TargetRole.PRIMARY
            targets.forEach { it.log += ModelRecord(LogPosition(term = 1, offset = 1), write = null) }
            targets.drop(1).forEach { it.following = ids.first() }
            return targets
        }
    }
}
