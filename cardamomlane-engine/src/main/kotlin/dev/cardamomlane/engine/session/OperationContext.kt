package dev.cardamomlane.engine.session

import dev.cardamomlane.core.session.SessionPositions

/**
 * What an operation takes from its session when it starts.
 *
 * @property id the caller's id of the first statement
 * @property arrivedAtMillis when the first statement arrived
 * @property positions the session's own commits
 * @property isWanted false once the caller has left
 */
internal class OperationContext(
    val id: String,
    val arrivedAtMillis: Long,
    val positions: SessionPositions,
    val isWanted: () -> Boolean,
)
