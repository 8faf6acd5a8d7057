package dev.cardamomlane.daemon

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId

/**
 * What one statement or transaction needs of its target.
 *
 * @property write true if it must run on the primary
 * @property floor the position that the target must have applied
 * @property maxAgeMillis the age of data that the rule accepts, or null if only the primary will do
 * @property excluded targets that already failed this request
 * @property load statements that run or wait for a target on this host
 */
public class RouteRequest(
    public val write: Boolean,
    public val floor: LogPosition,
    public val maxAgeMillis: Long?,
    public val excluded: Set<TargetId> = emptySet(),
    public val load: (TargetId) -> Int,
)
