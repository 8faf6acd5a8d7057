package dev.cardamomlane.engine.forward

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * What a member needs to begin an operation of another host's caller.
 *
 * @property key the caller's key, or null when it presented none
 * @property transaction whether the operation is a transaction, and of which kind
 * @property commitTerm term of the log position of the session's last commit, or -1 when there is none
 * @property commitOffset offset of that position
 * @property configurationVersion the newest configuration that the sender used; an older one must not decide
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class OperationStart(
    val database: String,
    val key: String?,
    val transaction: TransactionKind,
    val commitTerm: Long,
    val commitOffset: Long,
    val configurationVersion: Long,
)
