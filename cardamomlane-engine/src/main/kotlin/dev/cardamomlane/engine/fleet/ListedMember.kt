package dev.cardamomlane.engine.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * One entry of a [MemberList].
 *
 * @property isReady true when the member is alive and takes new operations
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class ListedMember(val member: Member, val isReady: Boolean)
