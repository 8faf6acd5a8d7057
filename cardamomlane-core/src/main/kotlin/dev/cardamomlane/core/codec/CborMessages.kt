package dev.cardamomlane.core.codec

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** Turns messages between hosts of one kind into CBOR and back. Labels go before names; unknown keys are passed over. */
@OptIn(ExperimentalSerializationApi::class)
public class CborMessages<T : Any>(private val serializer: KSerializer<T>) {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        preferCborLabelsOverNames = true
        useDefiniteLengthEncoding = true
    }

    /** The bytes of [message]. */
    public fun encode(message: T): ByteArray = cbor.encodeToByteArray(serializer, message)

    /** Decodes what [encode] made, or returns null when [bytes] are no message that this version knows. */
    public fun decode(bytes: ByteArray): T? = try {
        cbor.decodeFromByteArray(serializer, bytes)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
