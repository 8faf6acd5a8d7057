package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetStatus

/** What a takeover does next, after the targets were queried. */
internal sealed interface TakeoverStep {
    /** Nothing yet: query the targets again. */
    data object Wait : TakeoverStep

    /** Claim the record anew, since its fence was used to order another target. */
    data object ClaimAgain : TakeoverStep

    /** Order the promotion of [target], which reported [status]. */
    class Order(val target: Target, val status: TargetStatus) : TakeoverStep

    /** Publish [target], which has been promoted in [term]. */
    class Publish(val target: Target, val term: Long) : TakeoverStep

    /** Publish the old primary [target], which was never replaced. */
    class Keep(val target: Target, val reason: String) : TakeoverStep
}
