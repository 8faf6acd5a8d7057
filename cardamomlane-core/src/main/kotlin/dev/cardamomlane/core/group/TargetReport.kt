package dev.cardamomlane.core.group

import dev.cardamomlane.core.TargetId

/**
 * A [TargetStatus] with the times of its poll and its answer on this host's monotonic clock.
 *
 * @property pollSentAtMillis the poll was sent at or after this time
 */
public data class TargetReport(
    val target: TargetId,
    val status: TargetStatus,
    val pollSentAtMillis: Long,
    val answeredAtMillis: Long,
)
