package dev.cardamomlane.engine.target

import dev.cardamomlane.core.LogPosition

/**
 * A target's report on its role and its progress in replication.
 *
 * @property term the newest term that the target knows
 * @property received the position up to which the target has received the log
 * @property applied the position up to which the target has applied the log
 * @property lagMillis the target's estimate of its replication lag
 * @property busyCount the number of statements that run at the target
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
