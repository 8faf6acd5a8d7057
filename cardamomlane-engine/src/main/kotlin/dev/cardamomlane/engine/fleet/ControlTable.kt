package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.group.GroupRecord
import kotlinx.collections.immutable.persistentListOf
import reactor.core.publisher.Mono

/**
 * The control rows as this host last read them, and the writes that follow from them.
 *
 * Each write also expects the row of the settled epoch as it was read. So a write that was prepared before the store was
 * restored is refused once the new epoch is settled, although its row may have the expected version again.
 *
 * Not safe for use by several threads.
 */
public class ControlTable(private val store: ControlStore) {
    /** The newest rows that were read, or null before the first read. */
    public var rows: ControlRows? = null
        internal set

    /** True when the newest rows are of a settled epoch. */
    public val isSettled: Boolean get() = rows?.isSettled ?: false

    private val settledVersion: Long get() = rows?.settled?.version ?: 0

    /** See [ControlStore.onRestored]. */
    internal fun onRestored(listener: () -> Unit) = store.onRestored(listener)

    /** Reads every row; the caller sets [rows]. */
    internal fun read(): Mono<ControlRows> = store.read()

    /** Replaces a group's record if its row has [expectedVersion]; 0 means that there is none. */
    public fun writeRecord(record: GroupRecord, expectedVersion: Long): Mono<StoreWrite> =
        store.write(ControlChange(settledVersion, records = persistentListOf(RecordChange(record, expectedVersion))))

    /** Gives or vacates a seat. */
    internal fun writeSeat(change: SeatChange): Mono<StoreWrite> =
        store.write(ControlChange(settledVersion, seats = persistentListOf(change)))

    /** Applies [change], which was made from [rows]. */
    internal fun write(change: ControlChange): Mono<StoreWrite> = store.write(change)
}
