package dev.cardamomlane.core.failover

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.core.group.TargetStatus

internal data class ModelRecord(val position: LogPosition, val write: Int?)

internal class PendingWrite(val record: ModelRecord, val acknowledge: (LogPosition) -> Unit)

/**
 * Safety mechanisms that a simulation can switch off, to show that its checks then fail.
 *
 * @property majorityConfirms a write is acknowledged only after a majority has received it
 * @property fenceStopsOldTerms a fenced target accepts no writes and no replication of lower terms
 * @property oneClaimantPerTerm a target grants each term to one claimant only
 * @property highestIsPromoted the fenced target with the highest received position is promoted
 * @property platformAnswers the platform answers claims
 */
internal data class Mechanisms(
    val majorityConfirms: Boolean = true,
    val fenceStopsOldTerms: Boolean = true,
    val oneClaimantPerTerm: Boolean = true,
    val highestIsPromoted: Boolean = true,
    val platformAnswers: Boolean = true,
)

/** A model of a target that follows the contract of target control, reduced to its log and its fence. */
internal class ModelTarget(val id: TargetId, private val mechanisms: Mechanisms) {
    val log = ArrayList<ModelRecord>()
    val pending = ArrayList<PendingWrite>()
    var role = TargetRole.REPLICA
    var fenceTerm = 1L
    var following: TargetId? = null
    private var claimant = ""
    private val receivedByReplica = HashMap<TargetId, LogPosition>()

    val received: LogPosition get() = log.lastOrNull()?.position ?: LogPosition.START

    fun status() = TargetStatus(role, fenceTerm, claimant, received, received, following)

    fun fence(term: Long, requester: String): Boolean {
        if (term < fenceTerm) return false
        if (term == fenceTerm) return claimant == requester || !mechanisms.oneClaimantPerTerm
        raiseFence(term, requester)
        if (mechanisms.fenceStopsOldTerms) following = null
        return true
    }

    fun promote(term: Long, requester: String): Boolean {
        val mayPromote = fenceTerm == term && (claimant == requester || !mechanisms.oneClaimantPerTerm)
        if (!mayPromote || (following != null && mechanisms.fenceStopsOldTerms)) return false
        if (role == TargetRole.PRIMARY && received.term == term) return true
        role = TargetRole.PRIMARY
        following = null
        receivedByReplica.clear()
        log += ModelRecord(LogPosition(term, received.offset + 1), write = null)
        return true
    }

    fun follow(term: Long, primary: TargetId): Boolean {
        val isPrimaryInTerm = role == TargetRole.PRIMARY && term == fenceTerm
        if (term < fenceTerm || primary == id || isPrimaryInTerm) return false
        if (term > fenceTerm) raiseFence(term, requester = "")
        role = TargetRole.REPLICA
        following = primary
        return true
    }

    private fun raiseFence(term: Long, requester: String) {
        fenceTerm = term
        claimant = requester
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
        primary.receivedByReplica[id] = received
    }

    fun confirm(majority: Int) {
        val (confirmed, rest) = pending.partition { write ->
            1 + receivedByReplica.values.count { it >= write.record.position } >= majority
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
