package dev.cardamomlane.engine.fleet

import kotlinx.serialization.Serializable

/**
 * A host that is registered in the store.
 *
 * @property incarnation differs between the runs of the daemon on one host
 * @property address where the host receives heartbeats, as `ip:port`
 * @property snapshotAddress where the host serves snapshots of its configuration and targets, as `ip:port`
 */
@Serializable
public data class Member(val name: String, val incarnation: Long, val address: String, val snapshotAddress: String)
