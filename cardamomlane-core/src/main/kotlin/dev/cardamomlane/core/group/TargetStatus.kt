package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId

/**
 * What a target reports about itself in one answer.
 *
 * @property fenceTerm the highest term the target was fenced at; it refuses writes and replication of lower terms
 * @property fenceClaimant the claimant that fenced the target at [fenceTerm], or null when no claimant did
 * @property received the end of the target's durable log
 * @property applied the last position that reads on the target can see
 * @property following the primary that a replica receives its log from, or null when it follows none
 * @property leaving whether the platform is about to remove the target
 * @property incarnation changes when the target restarts or rebuilds, after which its positions may be lower
 */
public data class TargetStatus(
    val role: TargetRole,
    val fenceTerm: Long,
    val fenceClaimant: String? = null,
    val received: LogPosition,
    val applied: LogPosition,
    val following: TargetId? = null,
    val leaving: Boolean = false,
    val incarnation: String = "",
) {
    init {
        require(fenceTerm >= 0) { "fenceTerm must not be negative but was $fenceTerm" }
    }

    /**
     * Whether the target is the primary of [fenceTerm]. A primary that was fenced by a later claim keeps its role
     * until it follows the new primary, but its log ends in an earlier term.
     */
    val isPrimaryInTerm: Boolean
        get() = role == TargetRole.PRIMARY && received.term == fenceTerm
}
