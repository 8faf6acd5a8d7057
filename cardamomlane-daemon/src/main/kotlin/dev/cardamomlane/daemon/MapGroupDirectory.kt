package dev.cardamomlane.daemon

import dev.cardamomlane.core.DatabaseId

/** A [GroupDirectory] of a fixed list of groups. */
internal class MapGroupDirectory(private val groups: List<DatabaseGroup>) : GroupDirectory {
    private val byName = groups.associateBy { it.database }

    override fun group(database: DatabaseId): DatabaseGroup? = byName[database]

    override fun groups(): List<DatabaseGroup> = groups
}
