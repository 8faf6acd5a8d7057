package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.group.GroupRecord

/**
 * Every group record and every member row in the store, read at one moment.
 *
 * @property epoch the store's epoch at that moment; [StorePosition] defines it
 */
public class ControlRows(
    public val epoch: Long,
    public val records: List<GroupRecord>,
    public val members: List<MemberRow>,
)
