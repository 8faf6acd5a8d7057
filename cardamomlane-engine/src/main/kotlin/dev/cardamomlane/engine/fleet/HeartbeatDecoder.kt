package dev.cardamomlane.engine.fleet

/**
 * Decodes the compressed heartbeats of one incarnation of one peer.
 *
 * Keeps each heartbeat while the peer may use it as a base. Both times are on the peer's clock, so whatever the delay,
 * every base that [HeartbeatEncoder] uses for a newer heartbeat than the newest one is kept.
 *
 * Not safe for use by several threads.
 */
internal class HeartbeatDecoder(private val compression: HeartbeatCompression) {
    private val bytesBySentAtMillis = LinkedHashMap<Long, ByteArray>()

    /** Decodes [compressed], or returns null when its base is not known here or it is damaged. */
    fun decode(compressed: CompressedHeartbeat): Heartbeat? {
        val sentAtMillis = compressed.sentAtMillis
        val hasBase = compressed.baseSentAtMillis != CompressedHeartbeat.NO_BASE
        val base = if (hasBase) bytesBySentAtMillis[compressed.baseSentAtMillis] ?: return null else null
        val bytes = compression.decompress(compressed.bytes, base) ?: return null
        val heartbeat = HeartbeatEncoder.messages.decode(bytes)
            ?.takeIf { it.sentAtMillis == sentAtMillis && PeerMessageCheck.isValid(it) }
            ?: return null
        bytesBySentAtMillis.keys.removeIf { it < sentAtMillis - HeartbeatEncoder.MAX_BASE_AGE_MILLIS }
        bytesBySentAtMillis[sentAtMillis] = bytes
        return heartbeat
    }
}
