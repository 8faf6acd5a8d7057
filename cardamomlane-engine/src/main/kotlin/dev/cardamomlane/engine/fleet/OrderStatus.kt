package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.group.GroupRecord
import dev.cardamomlane.engine.group.PromotionOrder
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** The order in the record that [GroupStatus] reports of the same group; [PromotionOrder] describes the fields. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class OrderStatus(
    val group: String,
    val target: String,
    val fence: Long,
    val attempt: Int,
    val openCount: Int,
) {
    /** The order that is reported. */
    public fun order(): PromotionOrder = PromotionOrder(TargetId(target), fence, attempt, openCount)

    public companion object {
        /** What to report of the orders in [records], or null when there are none. */
        internal fun of(records: Collection<GroupRecord>): List<OrderStatus>? = records.mapNotNull { record ->
            record.order?.let { OrderStatus(record.group.value, it.target.value, it.fence, it.attempt, it.openCount) }
        }.ifEmpty { null }
    }
}
