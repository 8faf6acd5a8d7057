package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.HostId
import kotlinx.collections.immutable.ImmutableList

/**
 * What this host knows of the fleet, for operators.
 *
 * @property revision the revision in force on this host, or null before it is known
 * @property revisionInForceSinceMillis the time since 1970 at which it came into force here
 */
public data class FleetStatus(
    public val inStanding: Boolean,
    public val revision: Long?,
    public val revisionInForceSinceMillis: Long?,
    public val recordVersion: Long,
    public val isRecordSettled: Boolean,
    public val members: ImmutableList<HostId>,
    public val trackedCustomers: Int,
)
