package dev.cardamomlane.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import reactor.core.publisher.Mono
import reactor.util.retry.Retry
import reactor.util.retry.RetrySpec
import java.util.UUID

/**
 * Stores the revisions of the configuration in the platform's table.
 *
 * A proposal writes its revision and the head in one conditional write, so that a tool that fails midway leaves either
 * nothing or a whole proposal. The hosts accept a proposal without the tool, and a later proposal may supersede it.
 * Revision numbers only increase: the accepted number never decreases, and no number is used twice.
 *
 * Each operation retries a failed request up to [maxRetries] times without a delay. If that fails too, it ends with
 * [PlatformUnavailableException], and whether a write took effect is unknown until the head is read again. It ends so,
 * too, if a row that it needs can't be used.
 *
 * @param newToken returns a new idempotency token for each call
 */
public class ConfigurationStore(
    private val table: PlatformTable,
    private val maxRetries: Long = 2,
    private val newToken: () -> String = { UUID.randomUUID().toString() },
) {
    /** Reads which revisions are accepted and proposed. */
    public fun head(): Mono<ConfigurationHead> = headRow().map { it.head }

    /** Reads one revision. Completes empty when there is none with that number; 0 gives [Revision.NONE]. */
    public fun read(revision: Long): Mono<Revision> = if (revision ==
        0L
    ) {
        Mono.just(Revision.NONE)
    } else {
        withRetries { revisionRow(revision) }.flatMap { usable(ConfigurationRows.revisionOf(it)) }
    }

    /**
     * Proposes [draft] if [basedOn] is the accepted revision. Returns the number of the proposal.
     *
     * @param superseding the current proposal, which the draft replaces; null when there must be no current proposal
     */
    public fun propose(basedOn: Long, draft: Draft, superseding: Long? = null): Mono<Either<ProposalRefusal, Long>> {
        val token = newToken()
        val value = ConfigurationRows.write(draft, basedOn, token)
        val bytes = value.toByteArray().size
        if (bytes > MAX_VALUE_BYTES) return Mono.just(ProposalRefusal.TooLarge(bytes).left())
        return headRow().flatMap { read ->
            val refusal = refusalOf(read.head, basedOn, superseding)
            if (refusal != null) Mono.just(refusal.left()) else write(read, value, token)
        }
    }

    /** Makes [revision] the accepted one if it is the current proposal. Several hosts may call this concurrently. */
    public fun accept(revision: Long): Mono<AcceptOutcome> = withRetries {
        headRow().flatMap { read ->
            when {
                read.head.accepted >= revision -> Mono.just(AcceptOutcome.ACCEPTED)
                read.head.proposed != revision -> Mono.just(AcceptOutcome.SUPERSEDED)
                else -> writeAccepted(read, revision)
            }
        }
    }

    private fun writeAccepted(read: HeadRow, revision: Long): Mono<AcceptOutcome> {
        val head = ConfigurationHead(accepted = revision, proposed = null)
        return table.write(listOf(read.replacedBy(head)), newToken()).flatMap { outcome ->
            when (outcome) {
                WriteOutcome.Applied -> Mono.just(AcceptOutcome.ACCEPTED)
                is WriteOutcome.Conflict -> Mono.error(PlatformUnavailableException("$HEAD_KEY changed after its read"))
            }
        }
    }

    private fun write(read: HeadRow, value: String, token: String): Mono<Either<ProposalRefusal, Long>> {
        val number = read.head.next
        val writes =
            listOf(
                read.replacedBy(read.head.copy(proposed = number)),
                ConditionalWrite(ConfigurationRows.revisionKey(number), ConditionalWrite.ABSENT, value),
            )
        return withRetries { table.write(writes, token) }
            .flatMap { outcome ->
                if (outcome == WriteOutcome.Applied) Mono.just(number.right()) else resolveConflict(number, token)
            }
    }

    /** Finds out after a conflict whether an earlier attempt, whose answer was lost, wrote revision [number]. */
    private fun resolveConflict(number: Long, token: String): Mono<Either<ProposalRefusal, Long>> =
        withRetries { revisionRow(number) }
            .map { ConfigurationRows.tokenOf(it) == token }
            .defaultIfEmpty(false)
            .flatMap { isOwn -> if (isOwn) Mono.just(number.right()) else head().flatMap { refusalAfter(it, number) } }

    private fun refusalAfter(head: ConfigurationHead, number: Long): Mono<Either<ProposalRefusal, Long>> = when {
        head.accepted >= number -> Mono.just(ProposalRefusal.OutdatedBase(head).left())
        head.proposed != null -> Mono.just(ProposalRefusal.PendingProposal(head.proposed).left())
        else -> Mono.error(PlatformUnavailableException("a concurrent write to $HEAD_KEY was in progress"))
    }

    private fun refusalOf(head: ConfigurationHead, basedOn: Long, superseding: Long?): ProposalRefusal? = when {
        head.accepted != basedOn -> ProposalRefusal.OutdatedBase(head)
        head.proposed != null && head.proposed != superseding -> ProposalRefusal.PendingProposal(head.proposed)
        else -> null
    }

    private fun revisionRow(number: Long) = table.get(ConfigurationRows.revisionKey(number))

    private fun headRow(): Mono<HeadRow> = withRetries { table.get(HEAD_KEY) }
        .flatMap { row -> usable(ConfigurationRows.headOf(row)).map { HeadRow(row.version, it) } }
        .defaultIfEmpty(HeadRow(ConditionalWrite.ABSENT, ConfigurationHead(accepted = 0, proposed = null)))

    private fun <T : Any> usable(read: Either<UnusableRow, T>): Mono<T> =
        read.fold({ Mono.error(it.toException()) }, { Mono.just(it) })

    private fun <T : Any> withRetries(request: () -> Mono<T>): Mono<T> =
        Mono.defer(request).retryWhen(Retry.max(maxRetries).filter { it is PlatformUnavailableException }.rethrowLast())

    private fun RetrySpec.rethrowLast() = onRetryExhaustedThrow { _, signal -> signal.failure() }

    private class HeadRow(val version: Long, val head: ConfigurationHead) {
        fun replacedBy(next: ConfigurationHead) = ConditionalWrite(HEAD_KEY, version, ConfigurationRows.write(next))
    }

    public companion object {
        /** The most bytes of a revision's value. Must stay below 400 KB, the limit of the table service for one row. */
        public const val MAX_VALUE_BYTES: Int = 390_000
        private const val HEAD_KEY = ConfigurationRows.HEAD_KEY
    }
}
