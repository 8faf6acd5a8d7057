package dev.cardamomlane.standin.target

import dev.cardamomlane.core.LogPosition

/**
 * The answer to a request for confirmation.
 *
 * @property confirmed whether a majority of the group is known to hold the primary's log up to [position]
 */
internal data class Confirmation(val position: LogPosition, val confirmed: Boolean)
