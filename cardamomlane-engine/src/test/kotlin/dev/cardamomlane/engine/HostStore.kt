package dev.cardamomlane.engine

import dev.cardamomlane.engine.fleet.ControlRows
import dev.cardamomlane.engine.fleet.ControlStore
import dev.cardamomlane.engine.fleet.Member
import dev.cardamomlane.engine.fleet.StoreUnavailableException
import dev.cardamomlane.engine.fleet.StoreWrite
import dev.cardamomlane.engine.group.GroupRecord
import reactor.core.publisher.Mono

/** The store as one host reaches it, or does not. */
class HostStore(private val store: ControlStore, private val isCut: () -> Boolean) : ControlStore {
    override fun read(): Mono<ControlRows> =
        Mono.defer { if (isCut()) Mono.error(StoreUnavailableException("cut")) else store.read() }

    override fun writeRecord(record: GroupRecord, expectedVersion: Long): Mono<StoreWrite> =
        write { store.writeRecord(record, expectedVersion) }

    override fun writeMember(member: Member): Mono<StoreWrite> = write { store.writeMember(member) }

    override fun removeMember(name: String, expectedVersion: Long): Mono<StoreWrite> =
        write { store.removeMember(name, expectedVersion) }

    private fun write(call: () -> Mono<StoreWrite>): Mono<StoreWrite> =
        Mono.defer { if (isCut()) Mono.just(StoreWrite.Unknown("cut")) else call() }
}
