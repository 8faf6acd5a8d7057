package dev.cardamomlane.store

import kotlinx.collections.immutable.ImmutableList

/** The result of a [PlatformTable.write] whose answer arrived. */
public sealed interface WriteOutcome {
    /** Every row was written. */
    public data object Applied : WriteOutcome

    /**
     * No row was written.
     *
     * @property keys the rows that had another version than expected, in the order of the writes. Empty when the
     *   platform refused the write because a concurrent write to the same rows was in progress
     */
    public data class Conflict(val keys: ImmutableList<String>) : WriteOutcome
}
