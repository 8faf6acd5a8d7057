package dev.cardamomlane.engine

import dev.cardamomlane.engine.fleet.ControlChange
import dev.cardamomlane.engine.fleet.ControlRows
import dev.cardamomlane.engine.fleet.ControlStore
import dev.cardamomlane.engine.fleet.MemberRow
import dev.cardamomlane.engine.fleet.SettledEpoch
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
    private var settled = SettledEpoch.FIRST
    private val restoredListeners = ArrayList<() -> Unit>()
    var isDown = false

    /** The number of calls, answered or not. */
    var callCount = 0
        private set

    /** The rows of the seats that are taken. */
    val seats: Collection<MemberRow> get() = rowsBySeat.values

    /** The record writes that were applied, in order. */
    val written = ArrayList<GroupRecord>()

    /** Called with each record that was written, before the writer learns of it. */
    var onWritten: (GroupRecord) -> Unit = {}

    override fun read(): Mono<ControlRows> = Mono.defer {
        callCount++
        if (isDown) Mono.error(StoreUnavailableException("down")) else Mono.just(rows())
    }

    private fun rows(): ControlRows {
        val records = recordsByGroup.values.map { it.copy(position = it.position.copy(epoch = epoch)) }
        return ControlRows(epoch, settled, records, rowsBySeat.values.toList())
    }

    override fun onRestored(listener: () -> Unit) {
        restoredListeners += listener
    }

    override fun write(change: ControlChange): Mono<StoreWrite> = Mono.fromSupplier {
        callCount++
        if (isDown) StoreWrite.Refused("down") else conflict(change) ?: apply(change)
    }

    private fun conflict(change: ControlChange): StoreWrite? {
        val versions = listOf(settled.version to change.settledVersion) +
            change.records.map {
                (recordsByGroup[it.record.group.value]?.position?.version ?: 0) to it.expectedVersion
            } +
            change.seats.map { (rowsBySeat[it.seat]?.version ?: 0) to it.expectedVersion }
        return versions.firstOrNull { (found, expected) -> found != expected }?.let { StoreWrite.Conflict(it.first) }
    }

    private fun apply(change: ControlChange): StoreWrite {
        val position = next()
        change.settledEpoch?.let { settled = SettledEpoch(it, position.version) }
        for (write in change.records) {
            val stored = write.record.copy(position = position)
            recordsByGroup[stored.group.value] = stored
            written += stored
            onWritten(stored)
        }
        for ((seat, member) in change.seats) {
            if (member ==
                null
            ) {
                rowsBySeat.remove(seat)
            } else {
                rowsBySeat[seat] = MemberRow(seat, member, position.version)
            }
        }
        return StoreWrite.Applied(position)
    }

    private fun next() = StorePosition(epoch, ++version)

    /** Returns a copy of the rows, which [restore] puts back. */
    fun copy(): Copy = Copy(recordsByGroup.toMap(), rowsBySeat.toMap(), settled, version)

    /** Loses what was written since [copy] was made. Versions start again from the copy's, in the next epoch. */
    fun restore(copy: Copy) {
        recordsByGroup.clear()
        recordsByGroup.putAll(copy.recordsByGroup)
        rowsBySeat.clear()
        rowsBySeat.putAll(copy.rowsBySeat)
        settled = copy.settled
        version = copy.version
        epoch++
        restoredListeners.forEach { it() }
    }

    class Copy(
        internal val recordsByGroup: Map<String, GroupRecord>,
        internal val rowsBySeat: Map<Int, MemberRow>,
        internal val settled: SettledEpoch,
        internal val version: Long,
    )
}
