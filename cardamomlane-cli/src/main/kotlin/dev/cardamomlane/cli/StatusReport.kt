package dev.cardamomlane.cli

import kotlinx.serialization.Serializable

/**
 * The fields of a daemon's answer to `GET /status` that the tool shows.
 *
 * @property revisionInForceSinceMillis Unix time since which the host applies [revision]
 * @property standing whether the host is in good standing and so may serve; core's `FleetMachine` defines it
 */
@Serializable
internal class StatusReport(
    val revision: Long? = null,
    val revisionInForceSinceMillis: Long? = null,
    val standing: Boolean = false,
    val ready: Boolean = false,
    val groups: List<Group> = emptyList(),
) {
    @Serializable
    class Group(val database: String, val term: Long? = null, val primary: String? = null)
}
