package dev.cardamomlane.standin.target

import dev.cardamomlane.core.LogPosition

/** A snapshot of a target's state, as the control function `status` reports it. */
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
