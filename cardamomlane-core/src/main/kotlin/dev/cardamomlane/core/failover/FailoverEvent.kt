package dev.cardamomlane.core.failover

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.TargetStatus

/** An input of a [FailoverMachine]. Events may be lost, delayed, repeated and reordered. */
public sealed interface FailoverEvent {
    /** Time has passed, or the group's monitor has new information. */
    public data object Tick : FailoverEvent

    /** [FailoverAction.AskPeers] was sent to [peers] peers. */
    public data class PeersQueried(val peers: Int) : FailoverEvent

    /** A peer answered [FailoverAction.AskPeers]. */
    public data class PeerAnswered(val view: PeerView) : FailoverEvent

    /** [FailoverAction.ClaimTerm] for [term] ended with [outcome]. */
    public data class ClaimAnswered(val term: Long, val outcome: ClaimOutcome) : FailoverEvent

    /** [target] answered [FailoverAction.Fence] for [term]. [status] comes with the answer. */
    public data class FenceAnswered(
        val target: TargetId,
        val term: Long,
        val granted: Boolean,
        val status: TargetStatus,
    ) : FailoverEvent

    /** [target] answered [FailoverAction.Promote] for [term]. */
    public data class PromoteAnswered(val target: TargetId, val term: Long, val granted: Boolean) : FailoverEvent

    /** A peer reported that [primary] is the primary of [term]. */
    public data class TermAnnounced(val term: Long, val primary: TargetId) : FailoverEvent
}
