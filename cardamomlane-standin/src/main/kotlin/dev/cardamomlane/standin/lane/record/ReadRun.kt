package dev.cardamomlane.standin.lane.record

import dev.cardamomlane.core.LogPosition

/**
 * One run of a read at a target.
 *
 * @property last the position of the newest commit that the target had applied, or null if it had none
 */
internal data class ReadRun(val target: String, val last: LogPosition?)
