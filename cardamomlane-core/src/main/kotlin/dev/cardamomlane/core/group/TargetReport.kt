package dev.cardamomlane.core.group

import dev.cardamomlane.core.TargetId

/**
 * A [TargetStatus] with the times of its question and its answer on this host's monotonic clock.
 */
public data class TargetReport(
    val target: TargetId,
    val status: TargetStatus,
    val askedAtMillis: Long,
    val answeredAtMillis: Long,
)
