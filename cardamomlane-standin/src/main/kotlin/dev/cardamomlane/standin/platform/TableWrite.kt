package dev.cardamomlane.standin.platform

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/** One conditional write, or one condition check, of a request. */
internal sealed interface TableWrite {
    val key: ItemKey
    val condition: Condition

    class Put(val item: JsonObject, override val condition: Condition) : TableWrite {
        override val key: ItemKey = ItemKey.of(item)
    }

    class Delete(override val key: ItemKey, override val condition: Condition) : TableWrite

    /** Writes nothing. The transaction is cancelled unless [condition] holds. */
    class ConditionCheck(override val key: ItemKey, override val condition: Condition) : TableWrite

    companion object {
        private const val MAX_ITEM_BYTES = 400 * 1024

        /** Reads the write of type [action] from [request]. Throws [TableError] if it is invalid. */
        fun of(action: String, request: JsonObject): TableWrite {
            val condition = Condition.of(request)
            return when (action) {
                "Put" -> Put(requireSize(request.getValue("Item").jsonObject), condition)
                "Delete" -> Delete(ItemKey.of(request.getValue("Key").jsonObject), condition)
                "ConditionCheck" -> ConditionCheck(ItemKey.of(request.getValue("Key").jsonObject), condition)
                else -> throw TableError.validation("write \"$action\" is not supported")
            }
        }

        private fun requireSize(item: JsonObject): JsonObject {
            val bytes = item.toString().length
            if (bytes > MAX_ITEM_BYTES) throw TableError.validation("item size $bytes exceeds $MAX_ITEM_BYTES")
            return item
        }
    }
}
