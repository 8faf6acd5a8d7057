package dev.cardamomlane.engine.config

import dev.cardamomlane.core.DatabaseId

/**
 * Where the statements of one database go and what its callers expect.
 *
 * @property name the database as callers name it
 * @property timeoutMillis the longest that one statement may take
 * @property latencyGoalMillis how soon a whole operation should be answered
 * @property priority lower numbers go first
 * @property isPublic true when callers need no key
 */
public data class Route(
    val name: String,
    val group: DatabaseId,
    val consistency: Consistency,
    val maxStaleMillis: Long,
    val timeoutMillis: Long,
    val latencyGoalMillis: Long,
    val priority: Int,
    val isPublic: Boolean,
)
