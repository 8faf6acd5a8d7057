package dev.cardamomlane.cli

import kotlinx.serialization.Serializable

/** The members of a daemon's `GET /status` that the tool shows. */
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
