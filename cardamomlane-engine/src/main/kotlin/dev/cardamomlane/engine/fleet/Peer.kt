package dev.cardamomlane.engine.fleet

/**
 * Another host, and what its heartbeats reported.
 *
 * Not safe for use by several threads.
 *
 * @param listedAtMillis when this host first read of the member
 */
public class Peer internal constructor(
    public val member: Member,
    internal val listedAtMillis: Long,
    compression: HeartbeatCompression = HeartbeatCompression(),
) {
    private val decoder = HeartbeatDecoder(compression)

    /** Encodes the heartbeats to the peer. */
    internal val encoder: HeartbeatEncoder = HeartbeatEncoder(compression)

    /** The newest heartbeat by the peer's clock, or null before the first. */
    public var lastHeartbeat: Heartbeat? = null
        private set

    /** When [lastHeartbeat] arrived. */
    public var receivedAtMillis: Long = GroupRecords.NEVER
        private set

    /**
     * A time on this host's clock before which the peer did not send [lastHeartbeat]. [GroupRecords.NEVER] until a
     * heartbeat answers one of this incarnation of this host.
     */
    public var sentNotBeforeMillis: Long = GroupRecords.NEVER
        private set

    /**
     * True when [lastHeartbeat] says that it was sent later than it arrived: the peer's clock or this host's is wrong. Such
     * a heartbeat is not dated.
     */
    public var isFromFuture: Boolean = false
        private set

    /** Returns the heartbeat that [message] carries, or null when it carries none that can be decoded here. */
    internal fun decode(message: PeerMessage): Heartbeat? {
        if (message.readsCompressed || message.compressed != null) encoder.onPeerReads()
        return message.heartbeat ?: message.compressed?.let(decoder::decode)
    }

    /**
     * Records a heartbeat of the incarnation that [member] names. Returns false, and ignores it, if it is no newer than
     * the last one.
     */
    internal fun receive(heartbeat: Heartbeat, ownIncarnation: Long, nowMillis: Long): Boolean {
        val previous = lastHeartbeat
        if (previous != null && heartbeat.sentAtMillis <= previous.sentAtMillis) return false
        lastHeartbeat = heartbeat
        receivedAtMillis = nowMillis
        val notBeforeMillis = heartbeat.answeredSentAtMillis + heartbeat.answeredHeldMillis
        val isAnswer = heartbeat.answeredSentAtMillis >= 0 && heartbeat.answeredIncarnation == ownIncarnation
        isFromFuture = isAnswer && notBeforeMillis > nowMillis
        if (isAnswer && !isFromFuture) {
            sentNotBeforeMillis = notBeforeMillis
            encoder.onAcknowledged(heartbeat.answeredSentAtMillis)
        } else {
            encoder.onAcknowledged(CompressedHeartbeat.NO_BASE)
        }
        return true
    }

    /** True when [lastHeartbeat] arrived less than [withinMillis] ago. */
    public fun isAlive(nowMillis: Long, withinMillis: Long): Boolean = nowMillis - receivedAtMillis < withinMillis

    /** What [lastHeartbeat] reports of [group], or null when it reports nothing. */
    public fun groupStatus(group: String): GroupStatus? = lastHeartbeat?.groups?.firstOrNull { it.group == group }
}
