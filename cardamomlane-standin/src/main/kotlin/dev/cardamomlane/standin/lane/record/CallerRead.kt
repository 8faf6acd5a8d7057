package dev.cardamomlane.standin.lane.record

/**
 * A read that a caller sent.
 *
 * @property session the session that it belongs to
 * @property sentMillis when its first byte was sent, or that of its transaction
 * @property maxStaleMillis how old the data may be by the route; 0 if each acknowledged commit must be seen
 * @property seesOwnCommits whether the commits of its own session must be seen whatever their age
 */
internal data class CallerRead(
    val statementId: String,
    val session: String,
    val sentMillis: Long,
    val maxStaleMillis: Long,
    val seesOwnCommits: Boolean,
)
