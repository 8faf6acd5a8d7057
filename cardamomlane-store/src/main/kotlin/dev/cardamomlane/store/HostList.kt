package dev.cardamomlane.store

import kotlinx.collections.immutable.ImmutableList
import reactor.core.publisher.Mono

/**
 * The platform's list of hosts. It lags: a host may be missing, or still listed after its end.
 *
 * A failure arrives as [PlatformUnavailableException].
 */
public interface HostList {
    /** Asks for the list. Nothing is sent before subscription. */
    public fun hosts(): Mono<ImmutableList<ListedHost>>
}
