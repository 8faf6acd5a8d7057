package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.codec.CborMessages

/** Turns messages between hosts into CBOR and back. */
public object PeerCodec {
    private val messages = CborMessages(PeerMessage.serializer())

    /** The bytes of [message]. */
    public fun encode(message: PeerMessage): ByteArray = messages.encode(message)

    /** Reads a message, or returns null when the bytes are not one. */
    public fun decode(bytes: ByteArray): PeerMessage? = messages.decode(bytes)
}
