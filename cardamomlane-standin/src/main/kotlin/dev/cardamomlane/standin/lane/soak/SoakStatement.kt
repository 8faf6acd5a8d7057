package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.caller.CallerAnswer

/**
 * One statement of a caller and its answer. Times count from the start of the record.
 *
 * @property host where it was sent
 * @property key of the caller
 * @property session of the caller, from connecting until the connection ends
 * @property database that the session was opened for
 * @property operationId the statement with which the operation began: this one, or the begin of its transaction
 * @property operationMillis when that statement was sent
 * @property isRead whether it asks for data
 * @property isCommit whether its success acknowledges a write
 */
internal data class SoakStatement(
    val host: String,
    val key: String,
    val session: String,
    val database: String,
    val operationId: String,
    val operationMillis: Long,
    val isRead: Boolean,
    val isCommit: Boolean,
    val sentMillis: Long,
    val endedMillis: Long,
    val answer: CallerAnswer,
)
