package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import reactor.core.publisher.Mono

/** Orders the platform to make a target the primary. */
public fun interface PromotionCall {
    /**
     * Orders the promotion of [target] under [fence], the fencing token in the store's record of [group].
     *
     * A call that completes with [PromotionOutcome.UNKNOWN], or never, may still take effect. Nothing is sent before
     * subscription. The outcome arrives on the event loop.
     *
     * @param holder the holder of the record, as `host#incarnation`
     */
    public fun promote(group: DatabaseId, target: TargetId, holder: String, fence: Long): Mono<PromotionOutcome>
}
