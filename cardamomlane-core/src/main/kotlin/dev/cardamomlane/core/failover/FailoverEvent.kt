package dev.cardamomlane.core.failover

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.TargetStatus

/** What a [FailoverMachine] hears. Events may be lost, late, repeated and out of order. */
public sealed interface FailoverEvent {
    /** Time has passed, or the group's monitor has learnt something. */
    public data object Tick : FailoverEvent

    /** [FailoverAction.AskPeers] went to [peers] peers. */
    public data class PeersAsked(val peers: Int) : FailoverEvent

    public data class PeerAnswered(val view: PeerView) : FailoverEvent

    public data class ClaimAnswered(val term: Long, val outcome: ClaimOutcome) : FailoverEvent

    public data class FenceAnswered(
        val target: TargetId,
        val term: Long,
        val granted: Boolean,
        val status: TargetStatus,
    ) : FailoverEvent

    public data class PromoteAnswered(val target: TargetId, val term: Long, val granted: Boolean) : FailoverEvent

    /** A peer says that [primary] leads [term]. */
    public data class TermAnnounced(val term: Long, val primary: TargetId) : FailoverEvent
}
