package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.codec.CborMessages

/** Encodes and decodes messages between hosts as CBOR. */
public object PeerCodec {
    private val messages = CborMessages(PeerMessage.serializer())

    /** Encodes [message] as one datagram. */
    public fun encode(message: PeerMessage): ByteArray = messages.encode(message)

    /** Decodes a message, or returns null when [bytes] are not one that a host can have sent. */
    public fun decode(bytes: ByteArray): PeerMessage? = messages.decode(bytes)?.takeIf(PeerMessageCheck::isValid)
}
