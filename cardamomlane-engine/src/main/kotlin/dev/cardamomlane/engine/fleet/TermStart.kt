package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.group.GroupRecord
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** What a heartbeat adds to the record that a [GroupStatus] reports of the same group: [GroupRecord.startOfTerm]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class TermStart(val group: String, val term: Long, val offset: Long) {
    /** The position that is reported. */
    public fun position(): LogPosition = LogPosition(term, offset)

    public companion object {
        /** What to add on [records], or null when none of them says how far the log of its primary went. */
        internal fun of(records: Collection<GroupRecord>): List<TermStart>? = records
            .mapNotNull { record -> record.startOfTerm?.let { TermStart(record.group.value, it.term, it.offset) } }
            .ifEmpty { null }
    }
}
