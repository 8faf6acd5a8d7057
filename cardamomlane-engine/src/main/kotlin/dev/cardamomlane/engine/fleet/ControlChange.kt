package dev.cardamomlane.engine.fleet

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * A change of control rows. The store applies it as a whole, or not at all when a row has another version than expected.
 *
 * @property settledVersion the version that the row of the settled epoch must have; 0 means that there is none
 * @property settledEpoch the epoch to name as settled, or null to leave that row as it is
 */
public data class ControlChange(
    val settledVersion: Long,
    val settledEpoch: Long? = null,
    val records: ImmutableList<RecordChange> = persistentListOf(),
    val seats: ImmutableList<SeatChange> = persistentListOf(),
)
