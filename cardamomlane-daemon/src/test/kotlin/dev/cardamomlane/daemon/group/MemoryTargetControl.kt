package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.core.group.TargetStatus
import reactor.core.publisher.Mono

/** A target in memory. While [isPartitioned], operations neither take effect nor complete. */
internal class MemoryTargetControl(override val target: TargetId, primary: TargetId) : TargetControl {
    private val start = LogPosition(term = 1, offset = 1)
    var isPartitioned = false
    var status = TargetStatus(
        role = if (target == primary) TargetRole.PRIMARY else TargetRole.REPLICA,
        fenceTerm = 1,
        received = start,
        applied = start,
        following = primary.takeIf { it != target },
    )

    override fun status(newConnection: Boolean): Mono<TargetStatus> = answer { status }

    override fun fence(term: Long, claimant: String): Mono<FenceAnswer> = answer {
        val granted = term > status.fenceTerm || (term == status.fenceTerm && status.fenceClaimant == claimant)
        if (term > status.fenceTerm) raise(term, claimant)
        FenceAnswer(granted, status)
    }

    override fun promote(term: Long, claimant: String): Mono<Boolean> = answer {
        val granted = status.fenceTerm == term && status.fenceClaimant == claimant && status.following == null
        if (granted && status.role == TargetRole.REPLICA) {
            val record = LogPosition(term, status.received.offset + 1)
            status = status.copy(role = TargetRole.PRIMARY, received = record, applied = record)
        }
        granted
    }

    override fun follow(term: Long, primary: TargetId): Mono<Boolean> = answer {
        val isPrimaryOfTerm = status.role == TargetRole.PRIMARY && status.fenceTerm == term
        val granted = term >= status.fenceTerm && !isPrimaryOfTerm && primary != target
        if (granted && term > status.fenceTerm) raise(term, claimant = null)
        if (granted) status = status.copy(following = primary)
        granted
    }

    override fun close() = Unit

    private fun raise(term: Long, claimant: String?) {
        status = status.copy(
            role = TargetRole.REPLICA,
            fenceTerm = term,
            fenceClaimant = claimant,
            following = null,
        )
    }

    private fun <T : Any> answer(run: () -> T): Mono<T> =
        Mono.defer { if (isPartitioned) Mono.never() else Mono.fromCallable(run) }
}
