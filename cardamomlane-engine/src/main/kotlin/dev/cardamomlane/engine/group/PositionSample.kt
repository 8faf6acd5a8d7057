package dev.cardamomlane.engine.group

import dev.cardamomlane.core.LogPosition

/**
 * A log position that the primary reported.
 *
 * @property sentAtMillis when the request was sent; the log up to [position] contains every write acknowledged earlier
 */
public data class PositionSample(val sentAtMillis: Long, val position: LogPosition)
