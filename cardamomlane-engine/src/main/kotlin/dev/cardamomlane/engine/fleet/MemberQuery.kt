package dev.cardamomlane.engine.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * The question of a host without a seat for the members, which a member answers by a [MemberList].
 *
 * @property replyAddress where the answer is to be sent, as `ip:port`
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class MemberQuery(val replyAddress: String)
