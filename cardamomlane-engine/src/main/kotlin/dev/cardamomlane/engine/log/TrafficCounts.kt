package dev.cardamomlane.engine.log

/**
 * Counts the messages that are sent to other hosts, and their bytes, by kind. The bytes are those of the messages
 * alone, without framing and the headers of UDP and TCP.
 *
 * Not safe for use by several threads.
 */
public class TrafficCounts {
    private val messageCounts = LongArray(TrafficKind.entries.size)
    private val byteCounts = LongArray(TrafficKind.entries.size)

    /** Counts one message of [sizeBytes]. */
    public fun count(kind: TrafficKind, sizeBytes: Int) {
        require(sizeBytes >= 0) { "sizeBytes must not be negative but was $sizeBytes" }
        messageCounts[kind.ordinal]++
        byteCounts[kind.ordinal] += sizeBytes.toLong()
    }

    /** The number of messages of [kind] since the start. */
    public fun messageCount(kind: TrafficKind): Long = messageCounts[kind.ordinal]

    /** The bytes of the messages of [kind] since the start. */
    public fun byteCount(kind: TrafficKind): Long = byteCounts[kind.ordinal]
}
