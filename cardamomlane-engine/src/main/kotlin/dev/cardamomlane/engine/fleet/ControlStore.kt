package dev.cardamomlane.engine.fleet

import reactor.core.publisher.Mono

/**
 * The rows in the platform's store that outlast a host: group records, members, and the epoch that is settled.
 *
 * Nothing is sent before subscription. Results arrive on the event loop. A read that fails ends with
 * [StoreUnavailableException]; a write that fails ends with a [StoreWrite] that says so.
 */
public interface ControlStore {
    /** Reads every row as of one moment after the subscription. */
    public fun read(): Mono<ControlRows>

    /** Calls [listener] when an answer of the store shows that it was restored from an older copy. */
    public fun onRestored(listener: () -> Unit)

    /** Applies [change] if every row has the version that it expects. */
    public fun write(change: ControlChange): Mono<StoreWrite>
}
