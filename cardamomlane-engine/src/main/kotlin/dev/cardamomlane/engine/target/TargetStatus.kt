package dev.cardamomlane.engine.target

import dev.cardamomlane.core.LogPosition

/**
 * A target's own word on its place in the group.
 *
 * @property term the newest term it knows
 * @property received the end of what it received
 * @property applied the end of what it applied
 * @property lagMillis how far it applies behind, by its own estimate
 */
public data class TargetStatus(
    val isPrimary: Boolean,
    val term: Long,
    val received: LogPosition,
    val applied: LogPosition,
    val lagMillis: Long,
    val busyCount: Int,
    val connectionCount: Int,
)
