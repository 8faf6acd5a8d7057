package dev.cardamomlane.engine.fleet

/** The member that holds [seat], and the version of the seat's row in the store. */
public data class MemberRow(val seat: Int, val member: Member, val version: Long)
