package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.codec.CborMessages

/** Encodes and decodes the messages on connections between hosts as CBOR. */
public object HostMessageCodec {
    /**
     * The longest encoded message that a link carries; a longer one ends the connection. Leaves room for the longest line,
     * whose characters may take two bytes each, and for the session values.
     */
    public const val MAX_BYTES: Int = 8 shl 20

    private val messages = CborMessages(HostMessage.serializer())

    /** Encodes [message], without any framing. */
    public fun encode(message: HostMessage): ByteArray = messages.encode(message)

    /** Decodes a message, or returns null when [bytes] are not one. */
    public fun decode(bytes: ByteArray): HostMessage? = messages.decode(bytes)
}
