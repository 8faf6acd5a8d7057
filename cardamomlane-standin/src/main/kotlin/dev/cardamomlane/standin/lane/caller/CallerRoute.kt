package dev.cardamomlane.standin.lane.caller

import dev.cardamomlane.standin.lane.operator.OperatorConfig
import dev.cardamomlane.standin.lane.record.CallerRead

/**
 * The routes of the first configuration, and what each promises to its callers' reads.
 *
 * @property maxStaleMillis how old a read may be; 0 if it must show each acknowledged commit
 * @property seesOwnCommits whether a read must show the commits of its session whatever their age
 */
internal enum class CallerRoute(val database: String, val maxStaleMillis: Long, val seesOwnCommits: Boolean) {
    CURRENT(OperatorConfig.CURRENT_DATABASE, maxStaleMillis = 0, seesOwnCommits = false),
    BOUNDED(OperatorConfig.BOUNDED_DATABASE, OperatorConfig.BOUNDED_MILLIS, seesOwnCommits = false),
    SESSION(OperatorConfig.SESSION_DATABASE, OperatorConfig.SESSION_MILLIS, seesOwnCommits = true),
    ;

    /** The read [statementId] of [session] that was sent on this route, itself or its transaction, at [sentMillis]. */
    fun read(statementId: String, session: String, sentMillis: Long): CallerRead =
        CallerRead(statementId, session, sentMillis, maxStaleMillis, seesOwnCommits)
}
