package dev.cardamomlane.engine

import dev.cardamomlane.engine.fleet.ControlRows
import dev.cardamomlane.engine.fleet.ControlStore
import dev.cardamomlane.engine.fleet.Member
import dev.cardamomlane.engine.fleet.MemberRow
import dev.cardamomlane.engine.fleet.StorePosition
import dev.cardamomlane.engine.fleet.StoreUnavailableException
import dev.cardamomlane.engine.fleet.StoreWrite
import dev.cardamomlane.engine.group.GroupRecord
import reactor.core.publisher.Mono

/** An in-memory store that answers at once. While [isDown], it can't be reached. */
class FakeStore : ControlStore {
    private var epoch = 1L
    private val recordsByGroup = HashMap<String, GroupRecord>()
    private val rowsBySeat = sortedMapOf<Int, MemberRow>()
    private var version = 0L
    var isDown = false

    /** The number of calls, answered or not. */
    var callCount = 0
        private set

    /** The rows of the seats that are taken. */
    val seats: Collection<MemberRow> get() = rowsBySeat.values

    /** The record writes that were applied, in order. */
    val written = ArrayList<GroupRecord>()

    override fun read(): Mono<ControlRows> = Mono.defer {
        callCount++
        if (isDown) {
            Mono.error(StoreUnavailableException("down"))
        } else {
            Mono.just(ControlRows(epoch, recordsByGroup.values.toList(), rowsBySeat.values.toList()))
        }
    }

    override fun writeRecord(record: GroupRecord, expectedVersion: Long): Mono<StoreWrite> = change {
        val found = recordsByGroup[record.group.value]?.position?.version ?: 0
        if (found != expectedVersion) return@change StoreWrite.Conflict(found)
        val stored = record.copy(position = next())
        recordsByGroup[record.group.value] = stored
        written += stored
        StoreWrite.Applied(stored.position)
    }

    override fun writeMember(seat: Int, member: Member, expectedVersion: Long): Mono<StoreWrite> = change {
        val found = rowsBySeat[seat]?.version ?: 0
        if (found != expectedVersion) return@change StoreWrite.Conflict(found)
        val position = next()
        rowsBySeat[seat] = MemberRow(seat, member, position.version)
        StoreWrite.Applied(position)
    }

    override fun removeMember(seat: Int, expectedVersion: Long): Mono<StoreWrite> = change {
        val found = rowsBySeat[seat]?.version ?: 0
        if (found != expectedVersion) return@change StoreWrite.Conflict(found)
        rowsBySeat.remove(seat)
        StoreWrite.Applied(next())
    }

    private fun next() = StorePosition(epoch, ++version)

    /** Returns a copy of the rows, which [restore] puts back. */
    fun copy(): Copy = Copy(recordsByGroup.toMap(), rowsBySeat.toMap(), version)

    /** Loses what was written since [copy] was made. Versions start again from the copy's, in the next epoch. */
    fun restore(copy: Copy) {
        recordsByGroup.clear()
        for ((group, record) in copy.recordsByGroup) recordsByGroup[group] = record.inEpoch(epoch + 1)
        rowsBySeat.clear()
        rowsBySeat.putAll(copy.rowsBySeat)
        version = copy.version
        epoch++
    }

    private fun GroupRecord.inEpoch(epoch: Long) = copy(position = position.copy(epoch = epoch))

    class Copy(
        internal val recordsByGroup: Map<String, GroupRecord>,
        internal val rowsBySeat: Map<Int, MemberRow>,
        internal val version: Long,
    )

    private fun change(apply: () -> StoreWrite): Mono<StoreWrite> = Mono.fromSupplier {
        callCount++
        if (isDown) StoreWrite.Refused("down") else apply()
    }
}
