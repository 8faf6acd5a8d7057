package dev.cardamomlane.wire.peer

import dev.cardamomlane.core.codec.CborMessages

/**
 * Encodes peer messages in CBOR and decodes them.
 *
 * On a link, [LENGTH_BYTES] bytes before each message contain its length, the most significant byte first. A length
 * above [MAX_MESSAGE_BYTES], or above [MAX_HELLO_BYTES] before the other side is authenticated, closes the link.
 */
public object PeerCodec {
    /** The size of the length before each message, in bytes. */
    public const val LENGTH_BYTES: Int = 4

    /** The largest message, in bytes, without its length. */
    public const val MAX_MESSAGE_BYTES: Int = 4 * 1024 * 1024

    /** The largest message before the other side is authenticated, in bytes, without its length. */
    public const val MAX_HELLO_BYTES: Int = 1024

    private val messages = CborMessages(PeerMessage.serializer())

    /** Encodes [message] without its length. */
    public fun encode(message: PeerMessage): ByteArray = messages.encode(message)

    /** Decodes what [encode] returned. Returns null if [bytes] are no message that this version knows. */
    public fun decode(bytes: ByteArray): PeerMessage? = messages.decode(bytes)
}
