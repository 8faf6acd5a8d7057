package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.group.GroupRecord

/** What the store holds for the fleet at one moment. */
public class ControlRows(public val records: List<GroupRecord>, public val members: List<MemberRow>)
