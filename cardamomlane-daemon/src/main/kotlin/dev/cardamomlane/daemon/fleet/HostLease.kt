package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.fleet.Member
import dev.cardamomlane.store.ConditionalWrite
import dev.cardamomlane.store.PlatformTable
import dev.cardamomlane.store.Row
import dev.cardamomlane.store.WriteOutcome
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import java.util.Optional
import java.util.UUID

/**
 * The lease row of this incarnation of the host. The first write takes the row over from an earlier incarnation. After
 * that, losing the row to a later incarnation is final.
 */
internal class HostLease(private val table: PlatformTable, private val self: Member) {
    private val key = ControlTable.LEASE_PREFIX + self.id.host.value

    @Volatile
    private var rowVersion: Long? = null

    /** Renews the lease. Emits false when another incarnation of the host has taken it over. */
    fun renew(): Mono<Boolean> = write(isRetired = false)

    /** Marks the lease as retired: this incarnation has ended and never serves again. Emits what [renew] does. */
    fun retire(): Mono<Boolean> = write(isRetired = true)

    private fun write(isRetired: Boolean): Mono<Boolean> = Mono.defer {
        val version = rowVersion
        if (version == null) takeOver(isRetired) else writeAt(version, isRetired)
    }

    private fun takeOver(isRetired: Boolean): Mono<Boolean> = current().flatMap { row ->
        writeAt(row.map { it.version }.orElse(ConditionalWrite.ABSENT), isRetired)
    }

    private fun writeAt(version: Long, isRetired: Boolean): Mono<Boolean> {
        val write = ConditionalWrite(key, version, FleetRows.encodeLease(self, isRetired))
        return table.write(listOf(write), token = UUID.randomUUID().toString()).flatMap { outcome ->
            if (outcome == WriteOutcome.Applied) {
                rowVersion = version + 1
                Mono.just(true)
            } else {
                checkOwnership()
            }
        }
    }

    /**
     * Finds the owner of the row after a conflict. The row is still this incarnation's when the answer to an earlier
     * write was lost, else another incarnation's. Before the first write has succeeded, a conflict is no loss.
     *
     * A row that can't be used names no other incarnation, so the next renewal writes it again.
     */
    private fun checkOwnership(): Mono<Boolean> = current().map { row ->
        val isOwn = row.map { isOwn(it) }.orElse(false)
        if (isOwn) rowVersion = row.get().version
        isOwn || rowVersion == null
    }

    private fun isOwn(row: Row): Boolean = FleetRows.decodeLease(row).fold(
        { unusable ->
            Logger.warn { "fleet: the lease ${unusable.key} was overwritten and is taken back: ${unusable.reason}" }
            true
        },
        { lease -> lease.member.id == self.id },
    )

    private fun current(): Mono<Optional<Row>> = table.get(key).map { Optional.of(it) }.defaultIfEmpty(Optional.empty())
}
