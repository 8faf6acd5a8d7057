package dev.cardamomlane.engine.group

import dev.cardamomlane.core.LogPosition

/**
 * A position that the primary reported.
 *
 * @property askedAtMillis when the question was sent: the log up to [position] holds every write acknowledged before
 */
public data class PositionSample(val askedAtMillis: Long, val position: LogPosition)
