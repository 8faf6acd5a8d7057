package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId

/** The figures of one target that routing compares, precomputed for a [RoutingTable]. */
internal class Candidate(
    val target: TargetId,
    val role: TargetRole,
    val zoneDistance: Int,
    val applied: LogPosition,
    val lagMillis: Double,
    val answeredAtMillis: Long,
)
