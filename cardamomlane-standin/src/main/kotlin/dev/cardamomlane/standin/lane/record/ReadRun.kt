package dev.cardamomlane.standin.lane.record

import dev.cardamomlane.core.LogPosition

/**
 * One run of a read at a target.
 *
 * @property group the group whose log the target holds
 * @property last the position of the newest commit that the target had applied, or null if it had none
 */
internal data class ReadRun(val target: String, val group: String, val last: LogPosition?)
