package dev.cardamomlane.engine.target

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId

/**
 * What a target says of itself.
 *
 * @property group the databases that replicate from one primary
 * @property isDraining true when the target is about to stop and takes no new work
 * @property slotCount how many statements it runs at once
 * @property isPrimary the role that the target last reported
 * @property startedAtUnixMillis Unix time of the target's start, or 0 when it does not tell
 */
public data class TargetEntry(
    val id: TargetId,
    val group: DatabaseId,
    val address: String,
    val zone: String,
    val slotCount: Int,
    val isDraining: Boolean,
    val isPrimary: Boolean,
    val startedAtUnixMillis: Long,
)
