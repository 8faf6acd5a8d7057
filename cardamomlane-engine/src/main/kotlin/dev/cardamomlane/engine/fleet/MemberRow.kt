package dev.cardamomlane.engine.fleet

/** A member and the version of its row in the store. */
public data class MemberRow(val member: Member, val version: Long)
