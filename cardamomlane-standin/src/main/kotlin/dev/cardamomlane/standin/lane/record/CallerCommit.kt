package dev.cardamomlane.standin.lane.record

/**
 * A write or a commit that was acknowledged to its caller.
 *
 * @property session the session that it belongs to
 * @property acknowledgedMillis when the caller had the whole answer
 */
internal data class CallerCommit(val statementId: String, val session: String, val acknowledgedMillis: Long)
