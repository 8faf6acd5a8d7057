package dev.cardamomlane.daemon.admin

import kotlinx.serialization.Serializable

/**
 * The JSON body of `GET /status`. The property names are its keys.
 *
 * @property standing whether this host is in good standing and so may serve; core's `FleetMachine` defines it
 * @property revisionInForceSinceMillis Unix time
 */
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
