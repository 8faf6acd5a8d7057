package dev.cardamomlane.daemon

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.fleet.Configuration
import dev.cardamomlane.core.limits.Admission

/**
 * What the fleet allows this host to do. All calls come on the daemon's event loop thread and must not block.
 *
 * A result is valid only at the moment of the call, so the data path calls again for each statement.
 */
public interface FleetGate {
    /** The configuration in force, or null before the first one is known. */
    public fun configuration(): Configuration?

    /** Whether this host is in good standing and so may serve. Core's `FleetMachine` defines it. */
    public fun inStanding(): Boolean

    /** Admits one request of [customer] if this host's share of the customer's rate and burst allows it. */
    public fun admit(customer: CustomerId): Admission
}
