package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.group.PromotionOrder
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A [PromotionOrder] in a heartbeat. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class OrderStatus(val target: String, val fence: Long, val attempt: Int, val openCount: Int) {
    /** The order that is reported. */
    public fun order(): PromotionOrder = PromotionOrder(TargetId(target), fence, attempt, openCount)

    public companion object {
        /** What to report of [order]. */
        internal fun of(order: PromotionOrder): OrderStatus =
            OrderStatus(order.target.value, order.fence, order.attempt, order.openCount)
    }
}
