package dev.cardamomlane.store

import reactor.core.publisher.Flux
import reactor.core.publisher.Mono

/**
 * The platform's transactional table service.
 *
 * Nothing is sent before subscription, and every subscription sends the request anew. Each operation ends within the
 * implementation's timeout. When the service fails or can't be reached, the operation ends with
 * [PlatformUnavailableException].
 */
public interface PlatformTable {
    /**
     * Reads one row, including the effect of every acknowledged write. Completes empty when there is no such row, and
     * fails with [PlatformUnavailableException] when the item under its key is no row.
     */
    public fun get(key: String): Mono<Row>

    /**
     * Reads every row whose key starts with [prefix], in the order of their keys. The prefix must contain a slash.
     * Writes made during the scan may or may not be seen. Items that are no rows are left out and logged.
     */
    public fun scan(prefix: String): Flux<Row>

    /**
     * Applies all of [writes] or none.
     *
     * The [token] makes a retry idempotent: the same writes with the same token have no further effect once they were
     * applied, and give [WriteOutcome.Applied] again. A service may forget a token after ten minutes.
     */
    public fun write(writes: List<ConditionalWrite>, token: String): Mono<WriteOutcome>

    public companion object {
        /** The most rows that one [write] may hold. */
        public const val MAX_WRITES: Int = 100

        /** The most characters of a token. */
        public const val MAX_TOKEN_LENGTH: Int = 36
    }
}
