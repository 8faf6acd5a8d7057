package dev.cardamomlane.store

import dev.cardamomlane.core.AvailabilityZone
import dev.cardamomlane.core.HostId

/**
 * One entry of the [HostList].
 *
 * @property peerAddress `ip:port` for connections from other hosts
 * @property adminAddress `ip:port` of the admin endpoint
 */
public data class ListedHost(
    val host: HostId,
    val availabilityZone: AvailabilityZone,
    val peerAddress: String,
    val adminAddress: String,
    val state: HostState,
)
