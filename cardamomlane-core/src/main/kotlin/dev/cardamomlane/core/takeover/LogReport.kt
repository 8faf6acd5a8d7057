package dev.cardamomlane.core.takeover

import dev.cardamomlane.core.LogPosition

/**
 * What a target answers to a query about its role and its log.
 *
 * @property term the newest term that the target knows
 * @property received the position up to which the target has received the log
 */
public data class LogReport(val isPrimary: Boolean, val term: Long, val received: LogPosition)
