package dev.cardamomlane.engine.config

import dev.cardamomlane.core.DatabaseId

/**
 * The operators' settings for one database group.
 *
 * @property maxConnections the most connections that each target accepts from all hosts together
 * @property isReplicatedBeforeAcknowledged true when targets acknowledge a commit only after a replica has received it
 * @property warmUpMillis how long a target that returns from a drained zone gets work slowly; 0 means not at all
 * @property warmUpPerSecond the statements a second that all hosts together send to a target that warms up; 0 means no
 *   limit
 */
public data class GroupPolicy(
    val group: DatabaseId,
    val maxConnections: Int,
    val isReplicatedBeforeAcknowledged: Boolean,
    val warmUpMillis: Long = 0,
    val warmUpPerSecond: Int = 0,
)
