package dev.cardamomlane.core.failover

import dev.cardamomlane.core.TargetId

/** What a [FailoverMachine] wants done. Each action may be repeated without further effect. */
public sealed interface FailoverAction {
    /** Ask all peers for their [PeerView]. */
    public data class AskPeers(val term: Long) : FailoverAction

    /** Claim [term] in the platform's row of the group, unless the row names [term] or a later one for another. */
    public data class ClaimTerm(val term: Long, val claimant: String) : FailoverAction

    public data class Fence(val target: TargetId, val term: Long, val claimant: String) : FailoverAction

    public data class Promote(val target: TargetId, val term: Long, val claimant: String) : FailoverAction

    public data class Follow(val target: TargetId, val term: Long, val primary: TargetId) : FailoverAction

    /** Tell all peers, and the platform's row if it names no later term, that [primary] leads [term]. */
    public data class AnnounceTerm(val term: Long, val primary: TargetId, val claimant: String) : FailoverAction
}
