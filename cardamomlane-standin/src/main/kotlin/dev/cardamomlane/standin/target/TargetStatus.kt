package dev.cardamomlane.standin.target

import dev.cardamomlane.core.LogPosition

/** What a target tells of itself at one moment. */
internal data class TargetStatus(
    val role: TargetRole,
    val fenceTerm: Long,
    val fenceClaimant: String,
    val received: LogPosition,
    val applied: LogPosition,
    val following: String,
    val leaving: Boolean,
    val incarnation: Long,
)
