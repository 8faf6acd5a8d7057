package dev.cardamomlane.standin.target

import dev.cardamomlane.core.LogPosition

/** Whether a majority of the group holds the primary's log up to [position]. */
internal data class Confirmation(val position: LogPosition, val confirmed: Boolean)
