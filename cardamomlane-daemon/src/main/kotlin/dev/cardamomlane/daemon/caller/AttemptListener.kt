package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.wire.ServerError

/** Receives the outcome of an attempt. Exactly one method is called, once; none if the attempt is abandoned. */
internal interface AttemptListener {
    /** The whole answer was sent to the caller. */
    fun onAnswered()

    /**
     * The unit did not run, or its answer was discarded as stale. The caller has seen nothing of an answer.
     *
     * @param exclude whether the next attempt must avoid [target] while another target can serve the unit
     */
    fun onNotRun(target: TargetId, exclude: Boolean)

    /**
     * The answer was discarded, because the primary [target] has not applied the position that the session asks for. The
     * primary may have been replaced, or the position may not be one of its log. The caller has seen nothing of an answer.
     */
    fun onBehind(target: TargetId)

    /** The unit may have run, and its rule allows it to run again. The caller has seen nothing of an answer. */
    fun onRepeatable(target: TargetId, reason: String)

    /** The unit must not be sent again. The caller gets [error]. */
    fun onFailed(error: ServerError)
}
