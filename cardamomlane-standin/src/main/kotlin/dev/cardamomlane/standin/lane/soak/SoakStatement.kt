package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.caller.CallerAnswer

/**
 * One statement of a caller and its answer. Times count from the start of the record.
 *
 * @property host where it was sent
 * @property key of the caller
 * @property operationId the statement with which the operation began: this one, or the begin of its transaction
 * @property isCommit whether its success acknowledges a write
 */
internal data class SoakStatement(
    val host: String,
    val key: String,
    val operationId: String,
    val isCommit: Boolean,
    val sentMillis: Long,
    val endedMillis: Long,
    val answer: CallerAnswer,
)
