package dev.cardamomlane.core.fleet

import kotlinx.collections.immutable.ImmutableList

/** An input of a [FleetMachine]. */
public sealed interface FleetEvent {
    /** The heartbeat period passed. */
    public data object HeartbeatDue : FleetEvent

    /** The platform answered a [FleetAction.ReadPlatform] that was sent at [sentAtMillis]. */
    public data class PlatformRead(val sentAtMillis: Long, val rows: ControlRows) : FleetEvent

    /** The platform did not answer a [FleetAction.ReadPlatform] or a [FleetAction.ReadLeases]. */
    public data object PlatformFailed : FleetEvent

    /** A [FleetAction.WriteControl] ended. [written] is null if it had no effect or its effect is unknown. */
    public data class ControlWriteEnded(val written: ControlRows?) : FleetEvent

    /** The platform answered a [FleetAction.ReadLeases]. */
    public data class LeasesRead(val leases: ImmutableList<LeaseRow>) : FleetEvent

    /**
     * This incarnation ended and never serves again: it is stopping, or another incarnation on this host took over its
     * lease.
     */
    public data object Ended : FleetEvent

    /** The content of a revision arrived. */
    public data class RevisionLoaded(val configuration: Configuration) : FleetEvent

    /** Member [from] sent [question]. */
    public class Question(public val from: MemberId, public val question: PeerQuestion) : FleetEvent

    /** Member [from] sent [answer]. */
    public class Answer(public val from: MemberId, public val answer: PeerAnswer) : FleetEvent
}
