package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.group.GroupRecord
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** What a heartbeat adds to the record that a [GroupStatus] reports of the same group; see [GroupRecord]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class RecordDetail(val group: String, val takeoverFence: Long, val order: OrderStatus? = null) {
    public companion object {
        /** What to add on [records], or null when the statuses say all of them. */
        internal fun of(records: Collection<GroupRecord>): List<RecordDetail>? = records
            .filter { it.order != null || it.takeoverFence != it.fence }
            .map { RecordDetail(it.group.value, it.takeoverFence, it.order?.let(OrderStatus::of)) }
            .ifEmpty { null }
    }
}
