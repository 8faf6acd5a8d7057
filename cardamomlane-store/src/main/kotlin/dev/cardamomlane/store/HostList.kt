package dev.cardamomlane.store

import kotlinx.collections.immutable.ImmutableList
import reactor.core.publisher.Mono

/**
 * The platform's list of hosts. It may be out of date: a new host may be missing, and a stopped one still listed.
 *
 * A request that fails ends with [PlatformUnavailableException].
 */
public interface HostList {
    /** Requests the list. Nothing is sent before subscription. */
    public fun hosts(): Mono<ImmutableList<ListedHost>>
}
