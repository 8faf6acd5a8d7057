package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.group.GroupRecord
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * What a heartbeat says of one group.
 *
 * @property version 0 when the sender knows no record, and the fields up to [recordTerm] then say nothing of one
 * @property positionAgeMillis age of the newest position, or -1 when there is none
 * @property primaryHeardMillis how long ago the primary answered the sender, or -1 when it never did
 * @property unreachable the targets that do not answer the sender
 * @property confirmedVersion the version of a takeover for which the sender has no write under way any more
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class GroupStatus(
    val group: String,
    val version: Long,
    val fence: Long,
    val primary: String,
    val isChanging: Boolean,
    val isPlanned: Boolean,
    val holder: String,
    val recordTerm: Long,
    val positionTerm: Long,
    val positionOffset: Long,
    val positionAgeMillis: Long,
    val primaryHeardMillis: Long,
    val unreachable: List<String>,
    val confirmedVersion: Long,
) {
    /** The record that the note holds, or null when it holds none. */
    public fun record(): GroupRecord? = if (version == 0L) {
        null
    } else {
        GroupRecord(DatabaseId(group), version, fence, TargetId(primary), isChanging, isPlanned, holder, recordTerm)
    }
}
