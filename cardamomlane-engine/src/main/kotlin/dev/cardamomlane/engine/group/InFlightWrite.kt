package dev.cardamomlane.engine.group

import dev.cardamomlane.engine.target.Target

/** A write or commit that was sent to [target] and has no known outcome yet. */
internal interface InFlightWrite {
    val target: Target

    /** Stops waiting for the answer; the caller receives an error that says that the outcome is unknown. */
    fun abandon()
}
