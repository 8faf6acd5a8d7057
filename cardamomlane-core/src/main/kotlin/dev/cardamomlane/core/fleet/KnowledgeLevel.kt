package dev.cardamomlane.core.fleet

import dev.cardamomlane.core.SequenceNumbers

/**
 * How much a host knows of the changes of the members and the configuration.
 *
 * @property recordVersion the version of the newest member record that it knows
 * @property isRecordSettled whether it knows that this version is settled
 * @property confirmedRevision the highest revision whose content it had at the same time as that of the revision in
 *   force
 */
public data class KnowledgeLevel(val recordVersion: Long, val isRecordSettled: Boolean, val confirmedRevision: Long) {
    init {
        SequenceNumbers.requireValid("recordVersion", recordVersion)
        SequenceNumbers.requireValid("confirmedRevision", confirmedRevision)
    }

    /** True if a host at this level knows of no change that a host at [other] does not know. */
    public fun isWithin(other: KnowledgeLevel): Boolean =
        recordVersion <= other.recordVersion && confirmedRevision <= other.confirmedRevision
}
