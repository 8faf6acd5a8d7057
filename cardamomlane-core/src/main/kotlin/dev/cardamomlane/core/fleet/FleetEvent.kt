package dev.cardamomlane.core.fleet

import kotlinx.collections.immutable.ImmutableList

/** Something that happened to a [FleetMachine]. */
public sealed interface FleetEvent {
    /** The heartbeat period passed. */
    public data object HeartbeatDue : FleetEvent

    /** The platform answered a read that was sent at [askedAtMillis]. */
    public data class PlatformRead(val askedAtMillis: Long, val rows: ControlRows) : FleetEvent

    /** The platform did not answer a read or a scan. */
    public data object PlatformFailed : FleetEvent

    /** A write of the control rows ended. [written] is null when it had no effect or its effect is unknown. */
    public data class ControlWriteEnded(val written: ControlRows?) : FleetEvent

    /** The platform answered a scan of the leases. */
    public data class LeasesRead(val leases: ImmutableList<LeaseRow>) : FleetEvent

    /** This run ended for good: it stops, or another run on this host took its lease over. */
    public data object Ended : FleetEvent

    /** The content of a revision arrived. */
    public data class RevisionLoaded(val configuration: Configuration) : FleetEvent

    /** Member [from] asks. */
    public class Question(public val from: MemberId, public val question: PeerQuestion) : FleetEvent

    /** Member [from] answers. */
    public class Answer(public val from: MemberId, public val answer: PeerAnswer) : FleetEvent
}
