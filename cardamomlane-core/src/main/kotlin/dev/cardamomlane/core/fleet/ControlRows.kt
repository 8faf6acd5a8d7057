package dev.cardamomlane.core.fleet

/**
 * The two rows that changes of the fleet go through, with the row versions that a write is conditional on.
 *
 * Version 0 stands for a row that is absent.
 */
public data class ControlRows(
    val record: MemberRecord = MemberRecord.NONE,
    val recordRowVersion: Long = 0,
    val head: RevisionHead = RevisionHead.NONE,
    val headRowVersion: Long = 0,
)
