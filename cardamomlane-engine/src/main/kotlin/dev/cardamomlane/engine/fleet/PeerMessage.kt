package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.zone.ZoneDrains
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * A datagram from the [incarnation] of the host [from], which carries one of [heartbeat], [query], [list] and
 * [compressed].
 *
 * @property compressed a heartbeat for a host that reads this form; earlier builds ignore it
 * @property readsCompressed true when the sender reads compressed heartbeats; one that sends them does in any case
 * @property capacities what the sender of a heartbeat measured at the targets; hosts of earlier builds ignore it
 * @property drains the newest drains that the sender knows; null from a host that drains no zones, or from an older
 *   build
 * @property details what the statuses of the heartbeat don't say of their records; null when there is nothing, or from an
 *   older build
 * @property termStarts how far the logs of the primaries in its records went when they became primary; null when there is
 *   nothing, or from an older build
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class PeerMessage(
    @CborLabel(1) val from: String,
    @CborLabel(2) val incarnation: Long,
    @CborLabel(3) val heartbeat: Heartbeat? = null,
    @CborLabel(4) val query: MemberQuery? = null,
    @CborLabel(5) val list: MemberList? = null,
    @CborLabel(6) val compressed: CompressedHeartbeat? = null,
    @CborLabel(7) val readsCompressed: Boolean = false,
    @CborLabel(8) val capacities: List<CapacityReport>? = null,
    @CborLabel(9) val drains: ZoneDrains? = null,
    @CborLabel(10) val details: List<RecordDetail>? = null,
    @CborLabel(11) val termStarts: List<TermStart>? = null,
)
