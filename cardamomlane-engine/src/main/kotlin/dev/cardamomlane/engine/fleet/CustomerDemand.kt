package dev.cardamomlane.engine.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * The use that one customer makes of the host that sends the heartbeat.
 *
 * @property perSecond operations a second that the customer recently requested, admitted or not
 * @property admittedCount operations of the customer that the host has admitted since it started
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class CustomerDemand(val customer: String, val perSecond: Float, val admittedCount: Long)
