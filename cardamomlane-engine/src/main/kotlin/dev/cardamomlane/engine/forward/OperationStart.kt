package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.LogPosition
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * What a member needs to begin an operation of another host's caller.
 *
 * @property key the caller's key, or null when it presented none
 * @property transaction whether the operation is a transaction, and of which kind
 * @property lastCommit for members of earlier builds, which don't read [HostMessage.commits]: the position of the session's
 *   last commit in the log of the group that serves [database], or null when there is none
 * @property configurationVersion the newest configuration that the sender used; an older one must not decide
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class OperationStart(
    val database: String,
    val key: String?,
    val transaction: TransactionKind,
    val lastCommit: LogPosition?,
    val configurationVersion: Long,
)
