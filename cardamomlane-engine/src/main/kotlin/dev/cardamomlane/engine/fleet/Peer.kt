package dev.cardamomlane.engine.fleet

/**
 * What this host heard of another one.
 *
 * Not safe for use by several threads.
 */
public class Peer(public val member: Member) {
    /** The newest heartbeat, or null before the first. */
    public var lastHeartbeat: Heartbeat? = null
        private set

    /** When it arrived. */
    public var receivedAtMillis: Long = GroupRecords.NEVER
        private set

    /** The latest time on this host's clock at which the peer is known to have known what [lastHeartbeat] says. */
    public var sentNotBeforeMillis: Long = GroupRecords.NEVER
        private set

    /** The run of the daemon that spoke last. */
    public var incarnation: Long = 0
        private set

    /** Takes in a heartbeat; one that is older than the newest of the same run is ignored and answers false. */
    internal fun hear(fromIncarnation: Long, heartbeat: Heartbeat, ownIncarnation: Long, nowMillis: Long): Boolean {
        val previous = lastHeartbeat
        val isSameRun = fromIncarnation == incarnation
        if (isSameRun && previous != null && heartbeat.sentAtMillis <= previous.sentAtMillis) return false
        incarnation = fromIncarnation
        lastHeartbeat = heartbeat
        receivedAtMillis = nowMillis
        if (heartbeat.answeredSentAtMillis >= 0 && heartbeat.answeredIncarnation == ownIncarnation) {
            sentNotBeforeMillis = heartbeat.answeredSentAtMillis + heartbeat.answeredHeldMillis
        }
        return true
    }

    /** True when the peer was heard less than [withinMillis] ago. */
    public fun isAlive(nowMillis: Long, withinMillis: Long): Boolean = nowMillis - receivedAtMillis < withinMillis

    /** What the newest heartbeat says of [group]. */
    public fun groupStatus(group: String): GroupStatus? = lastHeartbeat?.groups?.firstOrNull { it.group == group }
}
