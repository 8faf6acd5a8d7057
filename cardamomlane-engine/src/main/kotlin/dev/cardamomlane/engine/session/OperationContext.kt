package dev.cardamomlane.engine.session

import dev.cardamomlane.core.LogPosition

/**
 * What an operation takes from its session when it starts.
 *
 * @property id the caller's id of the first statement
 * @property arrivedAtMillis when the first statement arrived
 * @property lastCommit the position of the session's last commit, or null when there is none
 * @property isWanted false once the caller has left
 */
internal class OperationContext(
    val id: String,
    val arrivedAtMillis: Long,
    val lastCommit: LogPosition?,
    val isWanted: () -> Boolean,
)
