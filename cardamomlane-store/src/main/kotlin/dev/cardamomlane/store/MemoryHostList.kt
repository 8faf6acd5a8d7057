package dev.cardamomlane.store

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import reactor.core.publisher.Mono

/** A [HostList] in memory that a test changes. Safe for use by several threads. */
public class MemoryHostList(@Volatile public var listed: ImmutableList<ListedHost> = persistentListOf()) : HostList {
    /** While true every question fails. */
    @Volatile
    public var down: Boolean = false

    override fun hosts(): Mono<ImmutableList<ListedHost>> = Mono.defer {
        if (down) Mono.error(PlatformUnavailableException("the host list is down")) else Mono.just(listed)
    }
}
