package dev.cardamomlane.standin.lane.record

import dev.cardamomlane.core.LogPosition

/** A position in the log of the group that is called [group]; positions of different groups can't be compared. */
internal data class CommitPlace(val group: String, val position: LogPosition)
