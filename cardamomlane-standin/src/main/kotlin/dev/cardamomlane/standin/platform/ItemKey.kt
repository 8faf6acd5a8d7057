package dev.cardamomlane.standin.platform

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** The key of an item: the partition key `pk` and the sort key `sk`, both strings. */
internal data class ItemKey(val partition: String, val sort: String) : Comparable<ItemKey> {
    override fun compareTo(other: ItemKey): Int = compareValuesBy(this, other, ItemKey::partition, ItemKey::sort)

    fun toJson(): JsonObject = JsonObject(mapOf(PARTITION to text(partition), SORT to text(sort)))

    companion object {
        private const val PARTITION = "pk"
        private const val SORT = "sk"

        /** Reads the key attributes of [item]. Throws [TableError] if one is missing or empty. */
        fun of(item: JsonObject): ItemKey = ItemKey(attribute(item, PARTITION), attribute(item, SORT))

        private fun attribute(item: JsonObject, name: String): String =
            item[name]?.jsonObject?.get("S")?.jsonPrimitive?.content?.takeIf(String::isNotEmpty)
                ?: throw TableError.validation("the key attribute \"$name\" is missing or empty")

        private fun text(value: String) = JsonObject(mapOf("S" to JsonPrimitive(value)))
    }
}
