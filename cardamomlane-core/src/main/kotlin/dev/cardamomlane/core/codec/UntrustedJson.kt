package dev.cardamomlane.core.codec

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/**
 * Decodes JSON texts that another process wrote. No text makes it throw.
 *
 * The overflow of a stack is an error that event loops and reactive streams don't pass on to their failure handlers, so
 * no text is read by recursion that its writer controls.
 *
 * @param json the format, for example whether unknown keys are ignored
 */
public class UntrustedJson(private val json: Json = Json) {
    /**
     * Decodes [text], or says why it can't be decoded or why [deserializer]'s type refuses its values. That type must not
     * contain itself; keys that it does not know may hold values of any depth, which the decoder skips without recursion.
     */
    public fun <T> decode(deserializer: DeserializationStrategy<T>, text: String): Either<UnreadableText, T> =
        read { json.decodeFromString(deserializer, text) }

    /** Parses [text] without a type, or says why it is not JSON or that it nests deeper than [MAX_DEPTH]. */
    public fun parse(text: String): Either<UnreadableText, JsonElement> = if (isTooDeep(text)) {
        UnreadableText("nested deeper than $MAX_DEPTH levels").left()
    } else {
        read { json.parseToJsonElement(text) }
    }

    private fun <T> read(decode: () -> T): Either<UnreadableText, T> = try {
        decode().right()
    } catch (failure: RuntimeException) {
        UnreadableText(reason(failure)).left()
    }

    /** The decoder's message quotes the whole text, which may be large. */
    private fun reason(failure: RuntimeException): String =
        "${failure.javaClass.simpleName}: ${failure.message.orEmpty().substringBefore('\n').take(MAX_REASON)}"

    private fun isTooDeep(text: String): Boolean {
        var depth = 0
        var isInString = false
        var index = 0
        while (index < text.length) {
            val character = text[index]
            when {
                isInString && character == '\\' -> index++
                character == '"' -> isInString = !isInString
                isInString -> Unit
                character == '[' || character == '{' -> if (++depth > MAX_DEPTH) return true
                character == ']' || character == '}' -> depth--
            }
            index++
        }
        return false
    }

    public companion object {
        /** The deepest nesting of arrays and objects that [parse] reads. */
        public const val MAX_DEPTH: Int = 64

        /** In characters. */
        private const val MAX_REASON = 160
    }
}
