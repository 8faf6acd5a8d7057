package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.zone.ZoneDrains
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * A datagram from the [incarnation] of the host [from]. Exactly one of [heartbeat], [query] and [list] is set.
 *
 * @property drains the newest drains that the sender knows; null from a host that drains no zones or is of an older build
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class PeerMessage(
    @CborLabel(1) val from: String,
    @CborLabel(2) val incarnation: Long,
    @CborLabel(3) val heartbeat: Heartbeat? = null,
    @CborLabel(4) val query: MemberQuery? = null,
    @CborLabel(5) val list: MemberList? = null,
    @CborLabel(6) val drains: ZoneDrains? = null,
)
