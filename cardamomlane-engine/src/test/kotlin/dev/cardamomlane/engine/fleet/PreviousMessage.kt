package dev.cardamomlane.engine.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** [PeerMessage] as the build before compressed heartbeats and zone drains declares it. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class PreviousMessage(
    @CborLabel(1) val from: String,
    @CborLabel(2) val incarnation: Long,
    @CborLabel(3) val heartbeat: Heartbeat? = null,
    @CborLabel(4) val query: MemberQuery? = null,
    @CborLabel(5) val list: MemberList? = null,
)
