package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId

/**
 * A request to choose the target of one statement or transaction.
 *
 * @property minimumPosition the position that the session has seen, which the target must have applied
 * @property maxAgeMillis the maximum age of the data that a read accepts, or null when only the primary may serve it
 * @property excluded targets that already failed this request
 * @property load the number of statements in progress or queued at a target
 */
public data class RouteRequest(
    val write: Boolean,
    val minimumPosition: LogPosition,
    val maxAgeMillis: Long?,
    val excluded: Set<TargetId>,
    val load: (TargetId) -> Int,
)
