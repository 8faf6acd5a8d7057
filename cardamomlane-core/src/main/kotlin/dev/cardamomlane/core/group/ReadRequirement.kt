package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition

/**
 * The conditions that a target must meet for its answer to a read to be used; see [isFreshEnough].
 *
 * @property term the term that the target must be fenced at, as its primary or as a replica
 * @property position the position that the target must have applied; it covers the session's minimum position and the
 * maximum age of the read
 * @property validUntilMillis until when the read may be sent; later, [position] no longer proves the maximum age
 */
public data class ReadRequirement(
    val term: Long,
    val position: LogPosition,
    val validUntilMillis: Long = Long.MAX_VALUE,
)
