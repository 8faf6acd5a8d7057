package dev.cardamomlane.standin.platform

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * The failure of a request, as the table service reports it.
 *
 * @property type the name of the exception in the service's API
 * @property fields further fields of the answer
 */
internal class TableError(val type: String, message: String, val fields: JsonObject = JsonObject(emptyMap())) :
    RuntimeException(message) {
    /** The body of the answer. */
    fun toJson(): JsonObject = JsonObject(
        mapOf(
            "__type" to JsonPrimitive("com.amazonaws.dynamodb.v20120810#$type"),
            "message" to JsonPrimitive(message),
            "Message" to JsonPrimitive(message),
        ) + fields,
    )

    companion object {
        const val CONDITION_FAILED = "The conditional request failed"

        fun validation(message: String): TableError = TableError("ValidationException", message)

        fun conditionFailed(): TableError = TableError("ConditionalCheckFailedException", CONDITION_FAILED)
    }
}
