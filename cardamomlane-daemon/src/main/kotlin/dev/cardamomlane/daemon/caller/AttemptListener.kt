package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.wire.ServerError

/** Hears how an attempt ended. Exactly one of the calls comes, unless the attempt is abandoned. */
internal interface AttemptListener {
    /** The caller has the whole answer. */
    fun onAnswered()

    /** The unit may be sent again: it did not run, or its rule allows it. The caller has seen nothing. */
    fun onNotRun(target: TargetId, exclude: Boolean)

    /** The unit ends with [error]. */
    fun onFailed(error: ServerError)
}
