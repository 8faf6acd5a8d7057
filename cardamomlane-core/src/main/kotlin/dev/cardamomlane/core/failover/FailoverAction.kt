package dev.cardamomlane.core.failover

import dev.cardamomlane.core.TargetId

/** A command that a [FailoverMachine] returns for its caller to carry out. Every action is idempotent. */
public sealed interface FailoverAction {
    /** Query all peers for their [PeerView]. */
    public data class AskPeers(val term: Long) : FailoverAction

    /** Claim [term] in the platform's row of the group, unless the row names [term] or a later one for another. */
    public data class ClaimTerm(val term: Long, val claimant: String) : FailoverAction

    /** Ask [target] to accept no writes and no replication of terms below [term], and to grant [term] to [claimant]. */
    public data class Fence(val target: TargetId, val term: Long, val claimant: String) : FailoverAction

    /** Make [target], which granted its fence at [term] to [claimant], the primary of [term]. */
    public data class Promote(val target: TargetId, val term: Long, val claimant: String) : FailoverAction

    /** Tell [target] to replicate from [primary], the primary of [term]. */
    public data class Follow(val target: TargetId, val term: Long, val primary: TargetId) : FailoverAction

    /**
     * Tell all peers that [primary] is the primary of [term], and write it to the platform's row of the group unless
     * the row names a later term.
     */
    public data class AnnounceTerm(val term: Long, val primary: TargetId, val claimant: String) : FailoverAction
}
