package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.GroupRecord
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * What a heartbeat reports of one group.
 *
 * @property position where the store has the record that the sender knows
 * @property fence the fence of that record; 0 when the sender knows none, and then the fields up to [recordTerm]
 *   describe no record, but [primary] still names the primary that the sender uses, if any
 * @property positionAgeMillis age of the newest log position of the primary, or -1 when the sender knows none
 * @property primaryHeardMillis how long ago the primary answered the sender, or -1 when it never did
 * @property unreachable the targets that do not answer the sender
 * @property confirmedFence the fence of the claim for which the sender has confirmed that it sends and acknowledges no
 *   more writes until a new primary is published, or 0
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class GroupStatus(
    val group: String,
    val position: StorePosition,
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
    val confirmedFence: Long,
) {
    /** The record that the sender knows, or null when it knows none. [detail] and [start] add the rest of it, if any. */
    public fun record(detail: RecordDetail?, start: TermStart? = null): GroupRecord? = if (fence == 0L) {
        null
    } else {
        GroupRecord(
            DatabaseId(group),
            position,
            fence,
            TargetId(primary),
            isChanging,
            isPlanned,
            holder,
            recordTerm,
            detail?.order?.order(),
            detail?.takeoverFence ?: fence,
            start?.position(),
        )
    }

    public companion object {
        /** What this host reports of [group] now, of which it knows [record]. */
        internal fun of(group: DatabaseGroup, record: GroupRecord?, nowMillis: Long): GroupStatus {
            val primary = group.primary
            val sample = group.newestSample
            val hasAnswered = primary != null && primary.lastAnswerAtMillis > GroupRecords.NEVER
            return GroupStatus(
                group = group.id.value,
                position = record?.position ?: StorePosition.START,
                fence = record?.fence ?: 0,
                primary = record?.primary?.value ?: primary?.entry?.id?.value ?: "",
                isChanging = record?.isChanging ?: false,
                isPlanned = record?.isPlanned ?: false,
                holder = record?.holder ?: "",
                recordTerm = record?.term ?: 0,
                positionTerm = sample?.position?.term ?: 0,
                positionOffset = sample?.position?.offset ?: 0,
                positionAgeMillis = if (sample == null) -1 else nowMillis - sample.sentAtMillis,
                primaryHeardMillis = if (hasAnswered) nowMillis - primary.lastAnswerAtMillis else -1,
                unreachable = group.targets.filter { it.unreachableSinceMillis != null }.map { it.entry.id.value },
                confirmedFence = group.confirmedFence,
            )
        }
    }
}
