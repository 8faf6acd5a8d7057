package dev.cardamomlane.core.fleet

import dev.cardamomlane.core.limits.ShareTable

/** A command that a [FleetMachine] returns for its caller to carry out. */
public sealed interface FleetAction {
    /** Send [question] to [to]. */
    public class Ask(public val to: MemberId, public val question: PeerQuestion) : FleetAction

    /** Send [answer] to [to]. */
    public class Reply(public val to: MemberId, public val answer: PeerAnswer) : FleetAction

    /**
     * Read the member record first and the revision head second, and report [FleetEvent.PlatformRead] or
     * [FleetEvent.PlatformFailed].
     */
    public data object ReadPlatform : FleetAction

    /** Read all leases, and report [FleetEvent.LeasesRead] or [FleetEvent.PlatformFailed]. */
    public data object ReadLeases : FleetAction

    /** Renew this host's own lease. */
    public data object RenewLease : FleetAction

    /** Fetch [revision] from the member [from], or from the platform if [from] is null or the fetch fails. */
    public data class LoadRevision(val revision: Long, val from: MemberId?) : FleetAction

    /** Write [new] in one transaction that is conditional on both row versions of [expected]. */
    public data class WriteControl(val expected: ControlRows, val new: ControlRows) : FleetAction

    /** Compute this host's shares of the limits from [table] from now on. */
    public class InstallShares(public val table: ShareTable) : FleetAction
}
