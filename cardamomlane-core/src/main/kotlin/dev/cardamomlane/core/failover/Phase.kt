package dev.cardamomlane.core.failover

import dev.cardamomlane.core.TargetId

/** The step that a [FailoverMachine] is at. */
internal sealed interface Phase {
    /** No failover is in progress, and none starts before [notBeforeMillis]. */
    class Idle(val notBeforeMillis: Long = Long.MIN_VALUE) : Phase

    /** Peers were queried at [queriedAtMillis] whether they reach the primary; [tally] collects their answers. */
    class QueryingPeers(val queriedAtMillis: Long, val tally: PeerTally) : Phase

    /** This host waits until [untilMillis] before it claims a term, so that a peer may do so first. */
    class Staggering(val reason: FailoverReason, val untilMillis: Long) : Phase

    /** [term] was claimed at the platform, which has not answered yet. */
    class Claiming(val reason: FailoverReason, val term: Long, val sinceMillis: Long) : Phase

    /** Targets are being fenced at [term]; [tally] contains those that granted it. */
    class Fencing(val term: Long, val sinceMillis: Long, val tally: FenceTally) : Phase {
        var sentAtMillis = sinceMillis
    }

    /** [target] is being promoted at [term]. No other target is ever promoted at that term. */
    class Promoting(val term: Long, val target: TargetId, val sinceMillis: Long) : Phase {
        var sentAtMillis = sinceMillis
    }
}
