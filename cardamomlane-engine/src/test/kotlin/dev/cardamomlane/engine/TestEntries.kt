package dev.cardamomlane.engine

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.target.TargetEntry

/** An entry of the target [id] of [group], whose address is its id. */
fun targetEntry(
    id: String,
    isPrimary: Boolean = false,
    isDraining: Boolean = false,
    startedAtUnixMillis: Long = 1,
    sequence: Long = 0,
    zone: String = "a",
    warmUpMillis: Long = 0,
    group: String = "g",
) = TargetEntry(
    id = TargetId(id),
    group = DatabaseId(group),
    address = id,
    zone = zone,
    slotCount = 5,
    isDraining = isDraining,
    isPrimary = isPrimary,
    startedAtUnixMillis = startedAtUnixMillis,
    sequence = sequence,
    warmUpMillis = warmUpMillis,
)
