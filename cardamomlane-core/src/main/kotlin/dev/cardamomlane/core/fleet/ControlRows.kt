package dev.cardamomlane.core.fleet

/**
 * The two rows of the platform's table that every change of the members or the configuration writes, with the row
 * versions that the write is conditional on. Row version 0 means that the row does not exist.
 */
public data class ControlRows(
    val record: MemberRecord = MemberRecord.NONE,
    val recordRowVersion: Long = 0,
    val head: RevisionHead = RevisionHead.NONE,
    val headRowVersion: Long = 0,
)
