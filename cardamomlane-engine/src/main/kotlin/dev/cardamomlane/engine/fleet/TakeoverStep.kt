package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetStatus

/** What a takeover does next, after the targets were queried. */
internal sealed interface TakeoverStep {
    /** Nothing yet: query the targets again. */
    data object Wait : TakeoverStep

    /** Claim the record anew, since its fence was used to order another target. */
    data object ClaimAgain : TakeoverStep

    /**
     * Order the promotion of [target], which reported [status]. The targets [leftOut] may have acknowledged commits that it
     * lacks, and were waited for in vain.
     */
    class Order(val target: Target, val status: TargetStatus, val leftOut: List<TargetId> = emptyList()) : TakeoverStep

    /** Publish [target], which has been promoted and reported [status]. */
    class Publish(val target: Target, val status: TargetStatus) : TakeoverStep

    /** Publish the old primary [target], which was never replaced. */
    class Keep(val target: Target, val reason: String) : TakeoverStep
}
