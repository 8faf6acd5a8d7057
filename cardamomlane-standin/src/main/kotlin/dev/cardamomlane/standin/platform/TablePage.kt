package dev.cardamomlane.standin.platform

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** The items of one Query answer, at most [limit] and within the size limit of the service. */
internal class TablePage(private val limit: Int) {
    private val items = ArrayList<JsonObject>()
    private var bytes = 0
    private var hasMore = false

    /** Adds [item]. Returns false if the page is full and the item belongs to the next one. */
    fun add(item: JsonObject): Boolean {
        val itemBytes = item.toString().length
        hasMore = items.size >= limit || (bytes > 0 && bytes + itemBytes > MAX_PAGE_BYTES)
        if (hasMore) return false
        items += item
        bytes += itemBytes
        return true
    }

    fun toJson(): JsonObject = buildJsonObject {
        put("Items", JsonArray(items))
        put("Count", items.size)
        put("ScannedCount", items.size)
        if (hasMore) put("LastEvaluatedKey", ItemKey.of(items.last()).toJson())
    }

    private companion object {
        const val MAX_PAGE_BYTES = 1 shl 20
    }
}
