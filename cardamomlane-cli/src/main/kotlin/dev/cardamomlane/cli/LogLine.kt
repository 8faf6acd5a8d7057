package dev.cardamomlane.cli

import dev.cardamomlane.core.codec.UntrustedJson
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/**
 * One line of a daemon's log.
 *
 * @property atMillis Unix time at which it was written, by the clock of its host
 * @property id the request that it is about, or null
 * @property fields the fields of the event, without those that every line has, in the order of the line
 * @property json the whole line
 */
internal class LogLine(
    val atMillis: Long,
    val host: String,
    val part: String,
    val event: String,
    val id: String?,
    val fields: Map<String, String>,
    val json: JsonObject,
) {
    val isAboutRequest: Boolean get() = id != null

    companion object {
        private val untrusted = UntrustedJson()
        private val commonFields = setOf("atMillis", "host", "part", "event", "id")

        /** Parses a line and ignores what precedes its JSON object. Returns null if a daemon did not write the line. */
        fun parse(text: String): LogLine? {
            val start = text.indexOf('{')
            if (start < 0) return null
            val json = untrusted.parse(text.substring(start)).getOrNull() as? JsonObject
            return json?.let(::of)
        }

        private fun of(json: JsonObject): LogLine? {
            fun text(name: String) = (json[name] as? JsonPrimitive)?.content
            return LogLine(
                atMillis = (json["atMillis"] as? JsonPrimitive)?.longOrNull ?: return null,
                host = text("host") ?: return null,
                part = text("part") ?: return null,
                event = text("event") ?: return null,
                id = text("id"),
                fields = json.filterKeys { it !in commonFields }.mapValues { (_, value) ->
                    (value as? JsonPrimitive)?.content ?: value.toString()
                },
                json = json,
            )
        }
    }
}
