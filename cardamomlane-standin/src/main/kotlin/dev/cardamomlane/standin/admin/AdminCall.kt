package dev.cardamomlane.standin.admin

import io.netty.handler.codec.http.QueryStringDecoder

/**
 * One call of the admin endpoint.
 *
 * Its functions throw [IllegalArgumentException] if a query parameter is missing or invalid.
 */
internal class AdminCall(uri: String) {
    private val decoder = QueryStringDecoder(uri)

    /** The segments of the path. */
    val parts: List<String> = decoder.path().trim('/').split('/')

    fun text(name: String): String =
        requireNotNull(decoder.parameters()[name]?.firstOrNull()) { "parameter $name is missing" }

    fun optionalNumber(name: String): Long? = if (name in decoder.parameters()) number(name) else null

    fun number(name: String): Long {
        val text = text(name)
        val number = text.toLongOrNull()?.takeIf { it >= 0 }
        return requireNotNull(number) { "parameter $name must be a number of at least 0 but was \"$text\"" }
    }

    fun flag(name: String, default: Boolean): Boolean {
        if (name !in decoder.parameters()) return default
        val text = text(name)
        return requireNotNull(text.toBooleanStrictOrNull()) {
            "parameter $name must be true or false but was \"$text\""
        }
    }
}
