package dev.cardamomlane.daemon.admin

import kotlinx.serialization.Serializable

/** What `GET /status` answers. */
@Serializable
internal data class StatusReport(
    val host: String,
    val availabilityZone: String,
    val revision: Long?,
    val revisionInForceSinceMillis: Long?,
    val standing: Boolean,
    val ready: Boolean,
    val groups: List<GroupReport>,
    val members: List<String>,
    val connections: Int,
    val sessions: Int,
    val pid: Long,
)
