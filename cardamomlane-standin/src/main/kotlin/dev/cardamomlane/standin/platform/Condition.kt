package dev.cardamomlane.standin.platform

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** A condition on one item, which may be absent. */
internal fun interface Condition {
    fun holds(item: JsonObject?): Boolean

    companion object {
        /** Reads the expression called [key] of [request], with its names and values. An absent one always holds. */
        fun of(request: JsonObject, key: String = "ConditionExpression"): Condition {
            val expression = request[key]?.jsonPrimitive?.content ?: return Condition { true }
            val parser = ConditionParser(
                ConditionTokens(expression),
                names = request["ExpressionAttributeNames"]?.jsonObject ?: JsonObject(emptyMap()),
                values = request["ExpressionAttributeValues"]?.jsonObject ?: JsonObject(emptyMap()),
            )
            return parser.parse()
        }
    }
}
