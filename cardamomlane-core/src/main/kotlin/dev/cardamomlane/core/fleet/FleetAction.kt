package dev.cardamomlane.core.fleet

import dev.cardamomlane.core.limits.ShareTable

/** Something that a [FleetMachine] wants done. */
public sealed interface FleetAction {
    /** Send [question] to [to]. */
    public class Ask(public val to: MemberId, public val question: PeerQuestion) : FleetAction

    /** Send [answer] to [to]. */
    public class Reply(public val to: MemberId, public val answer: PeerAnswer) : FleetAction

    /** Read the record first and the head second, and report [FleetEvent.PlatformRead] or a failure. */
    public data object ReadPlatform : FleetAction

    /** Scan the leases. */
    public data object ReadLeases : FleetAction

    /** Renew this host's own lease. */
    public data object RenewLease : FleetAction

    /** Fetch a revision from [from], or from the platform when that is null or fails. */
    public data class LoadRevision(val revision: Long, val from: MemberId?) : FleetAction

    /** Write [new] in one transaction, conditional on both row versions of [expected]. */
    public data class WriteControl(val expected: ControlRows, val new: ControlRows) : FleetAction

    /** Use [table] from now on. */
    public class InstallShares(public val table: ShareTable) : FleetAction
}
