package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.ServerError

/**
 * The errors that the daemon itself sends to callers.
 *
 * The detail is [NOT_RUN] only if no byte of the statement reached a target, or if the target itself said so.
 */
internal object Refusals {
    const val NOT_RUN = "not run"
    const val OUTCOME_UNKNOWN = "outcome unknown"

    fun overRate(reason: String, retryAfterMillis: Long) =
        notRun("53400", reason, hint = "retry after $retryAfterMillis ms")

    fun queue(reason: String, retryAfterMillis: Long) =
        notRun("53000", reason, hint = "retry after $retryAfterMillis ms")

    fun noTarget(reason: String) = notRun("57P03", "no target can serve the statement: $reason")

    fun notInGoodStanding() = notRun("57P03", "this host is not in good standing", severity = "FATAL")

    fun notReady() = notRun("57P03", "this host has no configuration yet", severity = "FATAL")

    fun invalidKey() = notRun("28P01", "the key is not valid", severity = "FATAL")

    fun keyRequired() = notRun("28000", "the statement needs a key")

    fun unsupported(what: String) = notRun("0A000", "$what is not supported through the proxy")

    fun unknownDatabase(name: String) = notRun("3D000", "database \"$name\" does not exist", severity = "FATAL")

    fun tooLarge(maxBytes: Int) = notRun("54000", "a message is larger than $maxBytes bytes", severity = "FATAL")

    fun malformed(reason: String) = notRun("08P01", "protocol violation: $reason", severity = "FATAL")

    fun draining() = notRun("57P01", "this host is stopping", severity = "FATAL")

    fun tooManyConnections() = notRun("53300", "this host has too many connections", severity = "FATAL")

    fun aborted() = notRun("25P02", "the transaction is aborted, statements are ignored until its end")

    fun cancelled() = notRun("57014", "the statement was cancelled before it started")

    fun outcomeUnknown(reason: String) = ServerError("08007", reason, detail = OUTCOME_UNKNOWN)

    private fun notRun(sqlState: String, message: String, hint: String? = null, severity: String = "ERROR") =
        ServerError(sqlState, message, detail = NOT_RUN, hint = hint, severity = severity)
}
