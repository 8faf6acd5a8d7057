package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.engine.group.GroupRecord

/**
 * The control rows in the store, read at one moment.
 *
 * @property epoch the store's epoch at that moment; [StorePosition] defines it
 * @property settled the epoch that the rows name as settled
 * @property records every group record
 * @property members every taken seat
 * @property unusable the rows that can't be decoded, which are in neither
 */
public class ControlRows(
    public val epoch: Long,
    public val settled: SettledEpoch,
    public val records: List<GroupRecord>,
    public val members: List<MemberRow>,
    public val unusable: UnusableRows = UnusableRows.NONE,
) {
    /** False when the rows may be older than what hosts know, since the store was restored; see [EpochSettlement]. */
    public val isSettled: Boolean get() = epoch <= settled.epoch

    /** The record of [group], or null when there is none. */
    public fun record(group: DatabaseId): GroupRecord? = records.firstOrNull { it.group == group }
}
