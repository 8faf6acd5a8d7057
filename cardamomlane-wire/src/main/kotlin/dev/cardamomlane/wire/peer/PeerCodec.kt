@file:OptIn(ExperimentalSerializationApi::class)

package dev.cardamomlane.wire.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

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

    private val cbor = Cbor {
        ignoreUnknownKeys = true
        preferCborLabelsOverNames = true
        useDefiniteLengthEncoding = true
    }

    /** Encodes [message] without its length. */
    public fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray(PeerMessage.serializer(), message)

    /** Decodes what [encode] made, or returns null when [bytes] are no message that this version knows. */
    public fun decode(bytes: ByteArray): PeerMessage? = try {
        cbor.decodeFromByteArray(PeerMessage.serializer(), bytes)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
