package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.DatabaseId
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The versions of control rows that can't be decoded. The next write of such a row expects its version, and so replaces
 * it.
 *
 * @property groups the versions of the rows where group records belong
 * @property seats the versions of the rows where members belong
 */
public data class UnusableRows(
    val groups: ImmutableMap<DatabaseId, Long> = persistentMapOf(),
    val seats: ImmutableMap<Int, Long> = persistentMapOf(),
) {
    public companion object {
        /** Every row can be decoded. */
        public val NONE: UnusableRows = UnusableRows()
    }
}
