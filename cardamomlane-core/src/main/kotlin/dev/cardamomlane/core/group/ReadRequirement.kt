package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition

/**
 * What a target must have applied for its answer to a read to count.
 *
 * @property term the term that the target must follow or lead
 * @property position covers both the session's floor and the stated age
 * @property validUntilMillis until when a read may be sent on the strength of [position]
 */
public data class ReadRequirement(
    val term: Long,
    val position: LogPosition,
    val validUntilMillis: Long = Long.MAX_VALUE,
)
