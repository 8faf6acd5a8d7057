package dev.cardamomlane.daemon.group

import arrow.core.getOrElse
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.SequenceNumbers
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.failover.ClaimOutcome
import dev.cardamomlane.store.ConditionalWrite
import dev.cardamomlane.store.PlatformTable
import dev.cardamomlane.store.RowReader
import dev.cardamomlane.store.WriteOutcome
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import java.util.UUID

/** The row of a database group in the platform's table, which contains the last claim of a term and its primary. */
internal class TermClaims(private val table: PlatformTable, database: DatabaseId) {
    private val key = "group/$database"

    /**
     * Claims [term] for [claimant]. Idempotent: a repeated claim of a won term is won again.
     *
     * Never fails: an error of the platform, or a row that can't be used, gives [ClaimOutcome.Unknown].
     */
    fun claim(term: Long, claimant: String): Mono<ClaimOutcome> = put(TermRow(term, claimant, primary = null))
        .doOnError { Logger.warn { "failover: whether term $term in $key is claimed is unknown: ${it.message}" } }
        .onErrorReturn(ClaimOutcome.Unknown)

    /** Records [primary] as the primary of [term], unless the row has a later term or another claimant of [term]. */
    fun record(term: Long, claimant: String, primary: TargetId): Mono<Void> =
        put(TermRow(term, claimant, primary.value)).then()

    private fun put(row: TermRow, tries: Int = MAX_TRIES): Mono<ClaimOutcome> = table.get(key)
        .map { row -> Stored(row.version, rows.read(row, ::valid).getOrElse { throw it.toException() }) }
        .defaultIfEmpty(Stored(ConditionalWrite.ABSENT, TermRow(term = 0, claimant = "", primary = null)))
        .flatMap { stored -> replace(stored, row, tries) }

    private fun replace(stored: Stored, row: TermRow, tries: Int): Mono<ClaimOutcome> {
        val last = stored.row
        val isTaken = last.term > row.term || (last.term == row.term && last.claimant != row.claimant)
        if (isTaken || tries == 0) return Mono.just(ClaimOutcome.Lost(last.term))
        if (last == row) return Mono.just(ClaimOutcome.Won)
        val write = ConditionalWrite(key, stored.version, json.encodeToString(TermRow.serializer(), row))
        return table.write(listOf(write), UUID.randomUUID().toString()).flatMap { outcome ->
            when (outcome) {
                is WriteOutcome.Applied -> Mono.just(ClaimOutcome.Won)
                is WriteOutcome.Conflict -> put(row, tries - 1)
            }
        }
    }

    private fun valid(row: TermRow): TermRow = row.also { SequenceNumbers.requireValid("term", it.term) }

    private class Stored(val version: Long, val row: TermRow)

    @Serializable
    private data class TermRow(val term: Long, val claimant: String = "", val primary: String? = null)

    private companion object {
        const val MAX_TRIES = 3
        val json = Json
        val rows = RowReader(TermRow.serializer())
    }
}
