package dev.cardamomlane.engine.group

import dev.cardamomlane.engine.target.Target

/** A write or commit whose outcome is not known yet. */
internal interface OpenWrite {
    val target: Target

    /** Gives up waiting and tells the caller that the outcome is unknown. */
    fun abandon()
}
