package dev.cardamomlane.engine.config

import dev.cardamomlane.core.DatabaseId

/**
 * The operators' settings for one database group.
 *
 * @property maxConnections the most connections that each target accepts from all hosts together
 * @property isReplicatedBeforeAcknowledged true when targets acknowledge a commit only after a replica has received it
 */
public data class GroupPolicy(
    val group: DatabaseId,
    val maxConnections: Int,
    val isReplicatedBeforeAcknowledged: Boolean,
)
