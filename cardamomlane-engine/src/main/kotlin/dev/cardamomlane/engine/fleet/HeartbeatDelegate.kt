package dev.cardamomlane.engine.fleet

/** Supplies what this host's heartbeats report of groups and customers, and receives what peers report. */
public interface HeartbeatDelegate {
    /** The newest configuration known here. */
    public val configurationVersion: Long

    /** True while this host takes new operations. */
    public val isReady: Boolean

    /** What this host says of its groups now. */
    public fun groupStatuses(nowMillis: Long): List<GroupStatus>

    /** The demand of each customer at this host, as reported to all hosts now. */
    public fun demand(nowMillis: Long): List<CustomerDemand>

    /** Receives what the newest heartbeat of [peer] reports of its groups. */
    public fun onGroupStatuses(peer: Peer, statuses: List<GroupStatus>, nowMillis: Long)

    /** What this host measures at the targets, or null while it reports nothing of them. */
    public fun capacityReports(): List<CapacityReport>? = null

    /** Receives what [peer] measures at the targets. */
    public fun onCapacityReports(peer: Peer, reports: List<CapacityReport>, nowMillis: Long): Unit = Unit
}
