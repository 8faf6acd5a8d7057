package dev.cardamomlane.engine.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** How many operations a second a customer asked of the sender lately. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class CustomerDemand(val customer: String, val perSecond: Float)
