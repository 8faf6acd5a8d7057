package dev.cardamomlane.engine

import dev.cardamomlane.engine.fleet.ControlRows
import dev.cardamomlane.engine.fleet.ControlStore
import dev.cardamomlane.engine.fleet.Member
import dev.cardamomlane.engine.fleet.StoreUnavailableException
import dev.cardamomlane.engine.fleet.StoreWrite
import dev.cardamomlane.engine.group.GroupRecord
import reactor.core.publisher.Mono

/** The store as one host sees it: out of reach while [isPartitioned] returns true. */
class PartitionableStore(private val store: ControlStore, private val isPartitioned: () -> Boolean) : ControlStore {
    override fun read(): Mono<ControlRows> =
        Mono.defer { if (isPartitioned()) Mono.error(StoreUnavailableException("partitioned")) else store.read() }

    override fun writeRecord(record: GroupRecord, expectedVersion: Long): Mono<StoreWrite> =
        write { store.writeRecord(record, expectedVersion) }

    override fun writeMember(seat: Int, member: Member, expectedVersion: Long): Mono<StoreWrite> =
        write { store.writeMember(seat, member, expectedVersion) }

    override fun removeMember(seat: Int, expectedVersion: Long): Mono<StoreWrite> =
        write { store.removeMember(seat, expectedVersion) }

    private fun write(call: () -> Mono<StoreWrite>): Mono<StoreWrite> =
        Mono.defer { if (isPartitioned()) Mono.just(StoreWrite.Unknown("partitioned")) else call() }
}
