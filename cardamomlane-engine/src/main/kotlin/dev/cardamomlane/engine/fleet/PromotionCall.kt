package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import reactor.core.publisher.Mono

/** Orders the platform to make a target the primary. */
public fun interface PromotionCall {
    /**
     * Orders the promotion of [target] under [fence], which only the store's record may give.
     *
     * Completes with [PromotionOutcome]; a call without an answer may still take effect.
     */
    public fun promote(group: DatabaseId, target: TargetId, holder: String, fence: Long): Mono<PromotionOutcome>
}
