package dev.cardamomlane.daemon.fleet

import arrow.core.Either
import arrow.core.getOrElse
import dev.cardamomlane.core.fleet.Configuration
import dev.cardamomlane.core.fleet.ControlRows
import dev.cardamomlane.core.fleet.LeaseRow
import dev.cardamomlane.store.ConditionalWrite
import dev.cardamomlane.store.ConfigurationStore
import dev.cardamomlane.store.PlatformTable
import dev.cardamomlane.store.PlatformUnavailableException
import dev.cardamomlane.store.RateLimitedLog
import dev.cardamomlane.store.Row
import dev.cardamomlane.store.UnusableRow
import dev.cardamomlane.store.WriteOutcome
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import reactor.core.publisher.Mono
import java.util.Optional
import java.util.UUID

/** Reads and writes the fleet's control rows, leases and revisions in the platform's table. */
internal class ControlTable(private val table: PlatformTable) {
    private val store = ConfigurationStore(table)
    private val log = RateLimitedLog()

    /** Reads the member record first and the revision head second. Each subscription reads both again. */
    fun read(): Mono<ControlRows> = getRow(RECORD_KEY).flatMap { record ->
        getRow(HEAD_KEY).map { head -> controlRows(record, head) }
    }

    /**
     * Writes the record of [new], and its head if that differs from the head of [expected], in one transaction.
     *
     * The write is applied only if the written rows still have the row versions of [expected].
     */
    fun write(expected: ControlRows, new: ControlRows): Mono<WriteOutcome> {
        val record = ConditionalWrite(RECORD_KEY, expected.recordRowVersion, FleetRows.encodeRecord(new.record))
        val head = ConditionalWrite(HEAD_KEY, expected.headRowVersion, FleetRows.encodeHead(new.head))
        val writes = if (new.head == expected.head) listOf(record) else listOf(record, head)
        return Mono.defer { table.write(writes, token = UUID.randomUUID().toString()) }
    }

    /** Reads all leases. Rows that can't be used are left out and logged. */
    fun leases(): Mono<ImmutableList<LeaseRow>> = table.scan(LEASE_PREFIX)
        .mapNotNull<LeaseRow> { row ->
            FleetRows.decodeLease(row).onLeft { log.warn("fleet: lease ${it.key} is left out", it.reason) }.getOrNull()
        }
        .collectList()
        .map { it.toImmutableList() }

    /** Reads the content of a revision. Empty when there is none or its rules don't parse. */
    fun revision(revision: Long): Mono<Configuration> = store.read(revision).mapNotNull { content ->
        content.toConfiguration()
            .onLeft { log.warn("fleet: revision $revision can't be used", it.first().toString()) }
            .getOrNull()
    }

    private fun getRow(key: String): Mono<Optional<Row>> =
        table.get(key).map { Optional.of(it) }.defaultIfEmpty(Optional.empty())

    /**
     * Fails with [PlatformUnavailableException] if a row can't be used. Nothing of such a row is taken: without one of
     * its members, a record would have another majority.
     */
    private fun controlRows(record: Optional<Row>, head: Optional<Row>): ControlRows {
        var rows = ControlRows()
        record.ifPresent { row ->
            rows = rows.copy(record = usable(FleetRows.decodeRecord(row)), recordRowVersion = row.version)
        }
        head.ifPresent { row ->
            rows = rows.copy(head = usable(FleetRows.decodeHead(row)), headRowVersion = row.version)
        }
        return rows
    }

    private fun <T> usable(read: Either<UnusableRow, T>): T = read.getOrElse {
        log.warn("fleet: row ${it.key} can't be used", it.reason)
        throw it.toException()
    }

    companion object {
        const val LEASE_PREFIX = "member/"
        private const val RECORD_KEY = "record/members"
        private const val HEAD_KEY = "config/head"
    }
}
