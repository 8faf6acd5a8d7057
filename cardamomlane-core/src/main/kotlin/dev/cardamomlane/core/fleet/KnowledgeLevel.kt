package dev.cardamomlane.core.fleet

/**
 * How much a host knows of the fleet's changes.
 *
 * @property recordVersion the version of the members of record that it goes by
 * @property isRecordSettled whether it knows that this version is settled
 * @property confirmedRevision the highest revision whose content it holds
 */
public data class KnowledgeLevel(val recordVersion: Long, val isRecordSettled: Boolean, val confirmedRevision: Long) {
    /** True when a host at this level knows no change that a host at [other] does not know. */
    public fun isWithin(other: KnowledgeLevel): Boolean =
        recordVersion <= other.recordVersion && confirmedRevision <= other.confirmedRevision
}
