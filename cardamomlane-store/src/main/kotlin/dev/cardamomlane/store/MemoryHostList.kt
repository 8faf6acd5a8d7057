package dev.cardamomlane.store

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import reactor.core.publisher.Mono

/** A [HostList] in memory for tests, which set [listed]. Safe for use by several threads. */
public class MemoryHostList(@Volatile public var listed: ImmutableList<ListedHost> = persistentListOf()) : HostList {
    /** While true, every request fails. */
    @Volatile
    public var down: Boolean = false

    override fun hosts(): Mono<ImmutableList<ListedHost>> = Mono.defer {
        if (down) Mono.error(PlatformUnavailableException("the host list is down")) else Mono.just(listed)
    }
}
