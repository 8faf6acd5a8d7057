package dev.cardamomlane.standin.lane.operator

import dev.cardamomlane.standin.lane.store.RowStore
import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlinx.serialization.json.Json

/** Writes configurations to the platform's store. Not safe for use by several threads. */
internal class Operator(private val store: RowStore, first: OperatorConfig) {
    /** The newest configuration. */
    var config: OperatorConfig = first
        private set

    init {
        publish(first)
    }

    /** Writes [next]. The store has acknowledged it when this returns. */
    fun publish(next: OperatorConfig) {
        config = next
        val text = json.encodeToString(OperatorConfig.serializer(), next)
        store.put(PlatformWords.OPERATOR_TABLE, PlatformWords.CONFIG_KEY, text.toByteArray())
    }

    private companion object {
        val json = Json {
            encodeDefaults = true
            explicitNulls = false
        }
    }
}
