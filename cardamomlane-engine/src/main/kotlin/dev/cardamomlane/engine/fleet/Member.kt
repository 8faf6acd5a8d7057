package dev.cardamomlane.engine.fleet

import kotlinx.serialization.Serializable

/**
 * A host that holds a seat in the store, and so serves operations.
 *
 * @property incarnation identifies one process of the daemon: it differs after each start on the same host
 * @property address where the host receives datagrams and connections of other hosts, as `ip:port`
 * @property snapshotAddress where the host serves snapshots of its configuration and targets, as `ip:port`
 * @property zone the host's availability zone
 * @property cores the processor time that the host may use, in cores
 */
@Serializable
public data class Member(
    val name: String,
    val incarnation: Long,
    val address: String,
    val snapshotAddress: String,
    val zone: String = "",
    val cores: Double = 1.0,
) {
    /** Names this incarnation of the host in group records. */
    val run: String get() = "$name#$incarnation"
}
