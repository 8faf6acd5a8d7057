package dev.cardamomlane.core.codec

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/**
 * Encodes messages between hosts as CBOR and decodes them.
 *
 * The key of a property is its CBOR label, or its name if it has no label. Unknown keys are ignored when decoding.
 */
@OptIn(ExperimentalSerializationApi::class)
public class CborMessages<T : Any>(private val serializer: KSerializer<T>) {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        preferCborLabelsOverNames = true
        useDefiniteLengthEncoding = true
    }

    /** Encodes [message]. */
    public fun encode(message: T): ByteArray = cbor.encodeToByteArray(serializer, message)

    /** Decodes what [encode] returned, or returns null if [bytes] are not a message that this version knows. */
    public fun decode(bytes: ByteArray): T? = try {
        cbor.decodeFromByteArray(serializer, bytes)
    } catch (_: RuntimeException) {
        null
    }
}
