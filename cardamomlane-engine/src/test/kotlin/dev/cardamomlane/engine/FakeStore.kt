package dev.cardamomlane.engine

import dev.cardamomlane.engine.fleet.ControlRows
import dev.cardamomlane.engine.fleet.ControlStore
import dev.cardamomlane.engine.fleet.Member
import dev.cardamomlane.engine.fleet.MemberRow
import dev.cardamomlane.engine.fleet.StoreUnavailableException
import dev.cardamomlane.engine.fleet.StoreWrite
import dev.cardamomlane.engine.group.GroupRecord
import reactor.core.publisher.Mono

/** An in-memory store that answers at once. While [isDown], it can't be reached. */
class FakeStore : ControlStore {
    private val recordsByGroup = HashMap<String, GroupRecord>()
    private val membersByName = HashMap<String, MemberRow>()
    private var version = 0L
    var isDown = false

    /** The record writes that were applied, in order. */
    val written = ArrayList<GroupRecord>()

    override fun read(): Mono<ControlRows> = Mono.defer {
        if (isDown) {
            Mono.error(StoreUnavailableException("down"))
        } else {
            Mono.just(ControlRows(recordsByGroup.values.toList(), membersByName.values.toList()))
        }
    }

    override fun writeRecord(record: GroupRecord, expectedVersion: Long): Mono<StoreWrite> = change {
        if ((recordsByGroup[record.group.value]?.version ?: 0) != expectedVersion) return@change StoreWrite.Conflict
        val stored = record.copy(version = ++version)
        recordsByGroup[record.group.value] = stored
        written += stored
        StoreWrite.Applied(version)
    }

    override fun writeMember(member: Member): Mono<StoreWrite> = change {
        membersByName[member.name] = MemberRow(member, ++version)
        StoreWrite.Applied(version)
    }

    override fun removeMember(name: String, expectedVersion: Long): Mono<StoreWrite> = change {
        if (membersByName[name]?.version != expectedVersion) return@change StoreWrite.Conflict
        membersByName.remove(name)
        StoreWrite.Applied(++version)
    }

    private fun change(apply: () -> StoreWrite): Mono<StoreWrite> = Mono.fromSupplier {
        if (isDown) StoreWrite.Refused("down") else apply()
    }
}
