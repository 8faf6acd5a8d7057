package dev.cardamomlane.standin.lane.operator

import dev.cardamomlane.standin.lane.store.RowStore
import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlinx.serialization.json.Json
import java.util.concurrent.CopyOnWriteArrayList

/** Writes configurations to the platform's store. Only [published] is safe for use by several threads. */
internal class Operator(private val store: RowStore, first: OperatorConfig, private val nowMillis: () -> Long = { 0 }) {
    private val publications = CopyOnWriteArrayList<Publication>()

    /** The newest configuration. */
    var config: OperatorConfig = first
        private set

    /** All configurations that were written, in order. */
    val published: List<Publication> get() = publications

    init {
        publish(first)
    }

    /** Writes [next]. The store has acknowledged it when this returns. */
    fun publish(next: OperatorConfig) {
        config = next
        publications += Publication(next, nowMillis())
        val text = json.encodeToString(OperatorConfig.serializer(), next)
        store.put(PlatformWords.OPERATOR_TABLE, PlatformWords.CONFIG_KEY, text.toByteArray())
    }

    /** A configuration, and when the store acknowledged it. */
    data class Publication(val config: OperatorConfig, val atMillis: Long)

    private companion object {
        val json = Json {
            encodeDefaults = true
            explicitNulls = false
        }
    }
}
