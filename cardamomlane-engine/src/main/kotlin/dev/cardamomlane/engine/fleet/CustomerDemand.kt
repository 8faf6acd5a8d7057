package dev.cardamomlane.engine.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** How many operations a second a customer asked of the sender lately, and how many the sender let run so far. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class CustomerDemand(val customer: String, val perSecond: Float, val admittedCount: Long)
