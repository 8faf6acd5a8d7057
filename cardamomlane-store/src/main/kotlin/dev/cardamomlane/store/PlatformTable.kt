package dev.cardamomlane.store

import reactor.core.publisher.Flux
import reactor.core.publisher.Mono

/**
 * The platform's transactional table service.
 *
 * Nothing is sent before subscription, and every subscription sends the request anew. Each operation ends within the
 * implementation's time limit. A failure of the service or of the way to it arrives as
 * [PlatformUnavailableException].
 */
public interface PlatformTable {
    /** Reads one row as of its last acknowledged write. Completes empty when there is no such row. */
    public fun get(key: String): Mono<Row>

    /**
     * Reads every row whose key starts with [prefix], in the order of their keys. The prefix must hold a slash. Rows
     * written meanwhile may or may not be seen.
     */
    public fun scan(prefix: String): Flux<Row>

    /**
     * Writes all of [writes] or none.
     *
     * Repeating the same writes under the same [token] has no further effect once they were applied, and answers
     * [WriteOutcome.Applied] again. A service may forget a token after ten minutes.
     */
    public fun write(writes: List<ConditionalWrite>, token: String): Mono<WriteOutcome>

    public companion object {
        /** The most rows that one [write] may hold. */
        public const val MAX_WRITES: Int = 100

        /** The most characters of a token. */
        public const val MAX_TOKEN_LENGTH: Int = 36
    }
}
