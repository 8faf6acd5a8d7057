package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.wire.ServerError

/** Hears how an attempt ended. Exactly one of the calls comes, unless the attempt is abandoned. */
internal interface AttemptListener {
    /** The caller has the whole answer. */
    fun onAnswered()

    /** The unit did not run. The caller has seen nothing. */
    fun onNotRun(target: TargetId, exclude: Boolean)

    /** The unit may have run and its rule allows it to run again. The caller has seen nothing. */
    fun onRepeatable(target: TargetId, reason: String)

    /** The unit ends with [error]. */
    fun onFailed(error: ServerError)
}
