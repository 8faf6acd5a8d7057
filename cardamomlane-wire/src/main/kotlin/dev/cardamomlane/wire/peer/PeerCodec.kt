package dev.cardamomlane.wire.peer

import dev.cardamomlane.core.codec.CborMessages

/**
 * Turns peer messages into bytes and back.
 *
 * On a link each message follows its length in [LENGTH_BYTES] bytes, the highest first. A length above
 * [MAX_MESSAGE_BYTES], or above [MAX_HELLO_BYTES] before the other side is authenticated, ends the link.
 */
public object PeerCodec {
    /** The size of the length before each message. */
    public const val LENGTH_BYTES: Int = 4

    /** The largest message. */
    public const val MAX_MESSAGE_BYTES: Int = 4 * 1024 * 1024

    /** The largest message before the other side is authenticated. */
    public const val MAX_HELLO_BYTES: Int = 1024

    private val messages = CborMessages(PeerMessage.serializer())

    /** Encodes [message] without its length. */
    public fun encode(message: PeerMessage): ByteArray = messages.encode(message)

    /** Decodes what [encode] made, or returns null when [bytes] are no message that this version knows. */
    public fun decode(bytes: ByteArray): PeerMessage? = messages.decode(bytes)
}
