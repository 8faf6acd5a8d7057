package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.codec.CborMessages

/**
 * Encodes the heartbeats to one incarnation of one peer. Each is compressed against the newest earlier one that the
 * peer has acknowledged, since most of a heartbeat repeats the one before.
 *
 * A lost heartbeat is never a base, since it is not acknowledged. The base is at most [MAX_BASE_AGE_MILLIS] old, and
 * [HeartbeatDecoder] keeps what it decoded for that time. Until the peer has shown that it reads compressed heartbeats,
 * it is sent plain ones, which hosts of earlier builds read.
 *
 * Not safe for use by several threads.
 */
internal class HeartbeatEncoder(private val compression: HeartbeatCompression) {
    /** The encoded heartbeats by the time at which they were sent; null where several were sent at one time. */
    private val bytesBySentAtMillis = LinkedHashMap<Long, ByteArray?>()
    private var acknowledgedSentAtMillis = CompressedHeartbeat.NO_BASE
    private var isPeerReading = false

    /** Records that the peer reads compressed heartbeats. */
    fun onPeerReads() {
        isPeerReading = true
    }

    /** Records that the heartbeat sent at [sentAtMillis] is the newest that the peer has; negative if it has none. */
    fun onAcknowledged(sentAtMillis: Long) {
        acknowledgedSentAtMillis = sentAtMillis
        bytesBySentAtMillis.keys.removeIf { it < sentAtMillis }
    }

    /** Sends plain heartbeats from now on, since the peer has restarted, maybe with an earlier build. */
    fun onRestarted() {
        isPeerReading = false
        onAcknowledged(CompressedHeartbeat.NO_BASE)
    }

    /** Returns the datagram from the [incarnation] of the host [from] that carries [heartbeat]. */
    fun encode(from: String, incarnation: Long, heartbeat: Heartbeat): PeerMessage {
        val compressed = if (isPeerReading) compress(heartbeat) else null
        if (compressed != null) return PeerMessage(from, incarnation, compressed = compressed)
        return PeerMessage(from, incarnation, heartbeat, readsCompressed = true)
    }

    private fun compress(heartbeat: Heartbeat): CompressedHeartbeat? {
        val sentAtMillis = heartbeat.sentAtMillis
        val bytes = messages.encode(heartbeat)
        bytesBySentAtMillis.keys.removeIf { it < sentAtMillis - MAX_BASE_AGE_MILLIS }
        val base = bytesBySentAtMillis[acknowledgedSentAtMillis]
        val compressed = compression.compress(bytes, base) ?: return null
        bytesBySentAtMillis[sentAtMillis] = bytes.takeIf { sentAtMillis !in bytesBySentAtMillis }
        val baseSentAtMillis = if (base == null) CompressedHeartbeat.NO_BASE else acknowledgedSentAtMillis
        return CompressedHeartbeat(sentAtMillis, baseSentAtMillis, compressed)
    }

    companion object {
        /**
         * The greatest age of a base. Acknowledgements arrive every [Fleet.HEARTBEAT_MILLIS], for heartbeats that are
         * up to that old, so one of them may be lost. Less than the time after which a silent peer is not alive.
         */
        const val MAX_BASE_AGE_MILLIS = 800L

        /** The encoding of heartbeats before compression. */
        val messages = CborMessages(Heartbeat.serializer())
    }
}
