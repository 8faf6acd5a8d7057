package dev.cardamomlane.engine.forward

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * A member's hint to a host that forwards operations: how many of a customer's operations of one priority to send.
 *
 * @property fraction the part of the operations to send, between 0 and 1; the others would be refused for the rate
 * @property holdMillis how long the hint holds after it arrived
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class SendHint(val fraction: Float, val holdMillis: Int)
