package dev.cardamomlane.daemon

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId

/** The term and the primary of a database group as this host knows them. [primary] is null while none is known. */
public data class GroupView(val database: DatabaseId, val term: Long, val primary: TargetId?)
