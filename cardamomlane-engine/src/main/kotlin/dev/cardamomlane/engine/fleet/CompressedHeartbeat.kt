package dev.cardamomlane.engine.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborArray

/**
 * A [Heartbeat] in compressed form.
 *
 * @property sentAtMillis [Heartbeat.sentAtMillis] of the heartbeat
 * @property baseSentAtMillis the same of the earlier heartbeat against which it is compressed, or [NO_BASE]
 * @property bytes the encoded heartbeat in the zlib format, whose checksums cover the heartbeat and its base
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public class CompressedHeartbeat(
    public val sentAtMillis: Long,
    public val baseSentAtMillis: Long,
    @ByteString public val bytes: ByteArray,
) {
    override fun equals(other: Any?): Boolean = other is CompressedHeartbeat &&
        sentAtMillis == other.sentAtMillis &&
        baseSentAtMillis == other.baseSentAtMillis &&
        bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "CompressedHeartbeat($sentAtMillis, $baseSentAtMillis, ${bytes.size} bytes)"

    public companion object {
        /** In place of a time when there is no base. */
        public const val NO_BASE: Long = -1
    }
}
