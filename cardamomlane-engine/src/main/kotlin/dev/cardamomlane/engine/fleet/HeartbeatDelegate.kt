package dev.cardamomlane.engine.fleet

/** Where heartbeats get what they say of groups and customers, and hand over what others say. */
public interface HeartbeatDelegate {
    /** The newest configuration known here. */
    public val configurationVersion: Long

    /** What this host says of its groups now. */
    public fun groupStatuses(nowMillis: Long): List<GroupStatus>

    /** What each customer asks of this host, as it is told to all hosts now. */
    public fun demand(nowMillis: Long): List<CustomerDemand>

    /** Takes in what [peer] says of its groups. */
    public fun onGroupStatuses(peer: Peer, statuses: List<GroupStatus>, nowMillis: Long)
}
