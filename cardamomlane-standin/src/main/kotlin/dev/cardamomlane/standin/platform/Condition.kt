package dev.cardamomlane.standin.platform

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** A condition on one item, which may be absent. */
internal fun interface Condition {
    /** Whether the condition holds for [item]. Null means that the item does not exist. */
    fun holds(item: JsonObject?): Boolean

    companion object {
        /**
         * Parses the expression in the field [key] of [request], with its attribute names and values.
         *
         * A request without that field has a condition that always holds. Throws [TableError] if parsing fails.
         */
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
