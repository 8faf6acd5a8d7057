package dev.cardamomlane.daemon

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId

/** What this host knows of a database group, for operators. [primary] is null while none is known. */
public data class GroupView(val database: DatabaseId, val term: Long, val primary: TargetId?)
