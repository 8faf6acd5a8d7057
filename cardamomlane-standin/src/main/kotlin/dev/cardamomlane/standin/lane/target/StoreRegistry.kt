package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.standin.lane.store.RowStore
import dev.cardamomlane.standin.lane.store.StoreFaults
import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlinx.serialization.json.Json

/** Keeps the entries of targets in the platform's store. Reports during an outage are dropped; heartbeats repeat them. */
internal class StoreRegistry(private val store: RowStore, private val faults: StoreFaults) : TargetRegistry {
    override fun report(target: String, entry: TargetEntry) {
        if (faults.outage != null) return
        val text = Json.encodeToString(TargetEntry.serializer(), entry)
        store.put(PlatformWords.TARGET_TABLE, target, text.toByteArray())
    }

    override fun remove(target: String) = store.remove(PlatformWords.TARGET_TABLE, target)
}
