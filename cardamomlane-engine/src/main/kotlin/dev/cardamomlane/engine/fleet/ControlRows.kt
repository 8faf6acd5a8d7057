package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.group.GroupRecord

/** Every group record and every member row in the store, read at one moment. */
public class ControlRows(public val records: List<GroupRecord>, public val members: List<MemberRow>)
