package dev.cardamomlane.engine

import dev.cardamomlane.engine.fleet.ControlChange
import dev.cardamomlane.engine.fleet.ControlRows
import dev.cardamomlane.engine.fleet.ControlStore
import dev.cardamomlane.engine.fleet.StoreUnavailableException
import dev.cardamomlane.engine.fleet.StoreWrite
import reactor.core.publisher.Mono

/** The store as one host sees it: out of reach while [isPartitioned] returns true. */
class PartitionableStore(private val store: ControlStore, private val isPartitioned: () -> Boolean) : ControlStore {
    override fun read(): Mono<ControlRows> =
        Mono.defer { if (isPartitioned()) Mono.error(StoreUnavailableException("partitioned")) else store.read() }

    override fun onRestored(listener: () -> Unit) = store.onRestored { if (!isPartitioned()) listener() }

    override fun write(change: ControlChange): Mono<StoreWrite> =
        Mono.defer { if (isPartitioned()) Mono.just(StoreWrite.Unknown("partitioned")) else store.write(change) }
}
