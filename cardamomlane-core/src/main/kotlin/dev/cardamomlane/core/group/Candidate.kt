package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId

/** A target as routing sees it, prepared when its report came in. */
internal class Candidate(
    val target: TargetId,
    val role: TargetRole,
    val zoneDistance: Int,
    val applied: LogPosition,
    val lagMillis: Double,
    val answeredAtMillis: Long,
)
