package dev.cardamomlane.core.failover

import dev.cardamomlane.core.TargetId

/** Where a [FailoverMachine] stands. */
internal sealed interface Phase {
    /** Nothing to do, or nothing to be done before [notBeforeMillis]. */
    class Idle(val notBeforeMillis: Long = Long.MIN_VALUE) : Phase

    /** Peers were asked whether they reach the primary. */
    class Asking(val askedAtMillis: Long, val tally: PeerTally) : Phase

    /** A peer may act first; this host acts at [untilMillis]. */
    class Staggering(val reason: FailoverReason, val untilMillis: Long) : Phase

    /** The platform was asked for [term]. */
    class Claiming(val reason: FailoverReason, val term: Long, val sinceMillis: Long) : Phase

    /** Targets are being fenced at [term]. */
    class Fencing(val term: Long, val sinceMillis: Long, val tally: FenceTally) : Phase {
        var sentAtMillis = sinceMillis
    }

    /** [target] is being promoted at [term]; no other target ever is at that term. */
    class Promoting(val term: Long, val target: TargetId, val sinceMillis: Long) : Phase {
        var sentAtMillis = sinceMillis
    }
}
