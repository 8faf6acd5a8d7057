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
 * A text that nests deeper than [MAX_DEPTH] is refused before it is decoded: decoders recurse into nested values, and
 * the overflow of a stack is an error that event loops and reactive streams don't pass on to their failure handlers.
 *
 * @param json the format, for example whether unknown keys are ignored
 */
public class UntrustedJson(private val json: Json = Json) {
    /** Decodes [text], or says why it can't be decoded or why [deserializer]'s type refuses its values. */
    public fun <T> decode(deserializer: DeserializationStrategy<T>, text: String): Either<UnreadableText, T> =
        read(text) { json.decodeFromString(deserializer, it) }

    /** Parses [text] without a type, or says why it is not JSON. */
    public fun parse(text: String): Either<UnreadableText, JsonElement> = read(text, json::parseToJsonElement)

    private fun <T> read(text: String, decode: (String) -> T): Either<UnreadableText, T> {
        if (isTooDeep(text)) return UnreadableText("nested deeper than $MAX_DEPTH levels").left()
        return try {
            decode(text).right()
        } catch (failure: RuntimeException) {
            UnreadableText(reason(failure)).left()
        }
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
        /** The deepest nesting of arrays and objects that is decoded. The project's own texts nest to a depth of 8 at most. */
        public const val MAX_DEPTH: Int = 64

        /** In characters. */
        private const val MAX_REASON = 160
    }
}
