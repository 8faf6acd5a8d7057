package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.group.GroupRecord
import dev.cardamomlane.engine.group.PromotionOrder
import dev.cardamomlane.engine.target.Target

/** How far a takeover by this host has come. */
internal sealed interface TakeoverPhase {
    /** No takeover by this host is under way. */
    data object Watching : TakeoverPhase

    /** The claim was sent to the store. */
    data object Claiming : TakeoverPhase

    /** Waits until no host can acknowledge a write of the old primary any more. */
    class Draining(val record: GroupRecord, val claimedAtMillis: Long) : TakeoverPhase {
        /** When [Fleet.blockingCount] members were first known to know [record], or null. */
        var informedAtMillis: Long? = null
    }

    /**
     * Queries the targets from [startedAtMillis] on, until one can be promoted or the old primary is kept. Rows that
     * were read no earlier than [readNotBeforeMillis] must still have the claim.
     */
    class Querying(val record: GroupRecord, val startedAtMillis: Long, val readNotBeforeMillis: Long) : TakeoverPhase {
        /** The name of the step that was logged last, so that each is logged once as long as it stays the same. */
        var loggedStep = ""
    }

    /**
     * Writes [order] to the record until the store confirms it, to order the promotion of [target] after that, which
     * had received the log up to [received].
     */
    class Ordering(val record: GroupRecord, val target: Target, val received: LogPosition, val order: PromotionOrder) :
        TakeoverPhase {
        var notBeforeMillis = GroupRecords.NEVER
    }

    /** The promotion of [target] was ordered and is not known to be done. */
    class Promoting(val record: GroupRecord, val target: Target, val sentAtMillis: Long) : TakeoverPhase

    /** Writes [primary] to the record until the store confirms it. Its log went up to [startOfTerm] when it became one. */
    class Publishing(val record: GroupRecord, val primary: TargetId, val term: Long, val startOfTerm: LogPosition?) :
        TakeoverPhase {
        var notBeforeMillis = GroupRecords.NEVER
    }
}
