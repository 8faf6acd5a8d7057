package dev.cardamomlane.daemon

import dev.cardamomlane.core.DatabaseId

/** The database groups of the settings. */
public interface GroupDirectory {
    /** Returns the group of [database], the name that callers use, or null if there is none. */
    public fun group(database: DatabaseId): DatabaseGroup?

    /** All groups, in the order of the settings. */
    public fun groups(): List<DatabaseGroup>
}
