package dev.cardamomlane.engine.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** Turns messages between hosts into CBOR and back. */
@OptIn(ExperimentalSerializationApi::class)
public object PeerCodec {
    private val cbor = Cbor {
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

    /** The bytes of [message]. */
    public fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray(PeerMessage.serializer(), message)

    /** Reads a message, or returns null when the bytes are not one. */
    public fun decode(bytes: ByteArray): PeerMessage? = try {
        cbor.decodeFromByteArray(PeerMessage.serializer(), bytes)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
