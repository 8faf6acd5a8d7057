package dev.cardamomlane.engine.config

import dev.cardamomlane.core.DatabaseId

/**
 * What the operator states for one database group.
 *
 * @property maxConnections the most connections that each target accepts from all hosts together
 * @property isReplicatedBeforeAcknowledged true when a commit is acknowledged only once a replica holds it
 */
public data class GroupPolicy(
    val group: DatabaseId,
    val maxConnections: Int,
    val isReplicatedBeforeAcknowledged: Boolean,
)
