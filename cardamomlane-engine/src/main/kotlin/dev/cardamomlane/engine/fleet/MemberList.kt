package dev.cardamomlane.engine.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * The members as one of them, the sender, sees them.
 *
 * @property members the sender and the other members
 * @property configurationVersion the newest configuration that the sender knows
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class MemberList(val members: List<ListedMember>, val configurationVersion: Long)
