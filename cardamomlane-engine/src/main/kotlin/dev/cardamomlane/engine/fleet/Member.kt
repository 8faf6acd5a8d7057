package dev.cardamomlane.engine.fleet

import kotlinx.serialization.Serializable

/**
 * A host that is registered in the store.
 *
 * @property incarnation identifies one process of the daemon: it differs after each start on the same host
 * @property address where the host receives heartbeats, as `ip:port`
 * @property snapshotAddress where the host serves snapshots of its configuration and targets, as `ip:port`
 */
@Serializable
public data class Member(val name: String, val incarnation: Long, val address: String, val snapshotAddress: String)
