package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.HostId
import kotlinx.collections.immutable.ImmutableList

/**
 * What this host knows of the fleet, for operators.
 *
 * @property inStanding whether this host is in good standing and so may serve; core's `FleetMachine` defines it
 * @property revision the revision in force on this host, or null before it is known
 * @property revisionInForceSinceMillis the Unix time at which that revision came into force on this host
 * @property recordVersion the version of the member record that this host uses
 * @property isRecordSettled whether no change of the members is pending
 * @property members the hosts in the member record
 * @property trackedCustomers the number of customers whose share this host keeps state of
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
