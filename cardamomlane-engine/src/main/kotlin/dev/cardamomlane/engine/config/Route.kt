package dev.cardamomlane.engine.config

import dev.cardamomlane.core.DatabaseId

/**
 * Which group serves the statements of one database, and with which consistency and limits.
 *
 * @property name the database name that callers use
 * @property maxStaleMillis the maximum age of the data that a read sees; not used with [Consistency.LATEST]
 * @property timeoutMillis the longest that one statement may take
 * @property latencyGoalMillis how soon a whole operation should be answered; it limits how long one may be queued
 * @property priority the order in which queued statements are served; lower numbers first
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
