package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.wire.OpenRequest
import dev.cardamomlane.wire.SessionOpener
import kotlinx.collections.immutable.ImmutableMap
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono

/**
 * The parameters that the targets of each database report at session startup, such as `server_version`. The daemon
 * reports them to callers when their sessions start.
 *
 * They are fetched once, from the first target that can be reached.
 */
internal class ServerParameters(
    private val opener: SessionOpener,
    private val requests: Map<DatabaseId, List<OpenRequest>>,
) {
    private val known = HashMap<DatabaseId, ImmutableMap<String, String>>()

    /** Returns the parameters of [database]. Fails if they were not fetched yet and no target can be reached. */
    fun find(database: DatabaseId): Mono<ImmutableMap<String, String>> {
        known[database]?.let { return Mono.just(it) }
        return Flux.fromIterable(requests.getValue(database))
            .concatMap { request -> fetch(request).onErrorResume { Mono.empty() } }
            .next()
            .switchIfEmpty(Mono.error(IllegalStateException("no target of $database can be reached")))
            .doOnNext { known[database] = it }
    }

    private fun fetch(request: OpenRequest): Mono<ImmutableMap<String, String>> = opener.open(request).map { session ->
        session.link.close()
        session.parameters
    }
}
