package dev.cardamomlane.engine.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A datagram from the [incarnation] of the host [from]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class PeerMessage(val from: String, val incarnation: Long, val heartbeat: Heartbeat)
