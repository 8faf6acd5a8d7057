package dev.cardamomlane.standin.lane.host

import dev.cardamomlane.standin.settings.SocketAddress

/**
 * One host and its addresses.
 *
 * @property address its loopback address
 * @property peerPorts the ports for traffic between hosts
 */
internal data class HostPlan(
    val name: String,
    val availabilityZone: String,
    val address: String,
    val callerPort: Int,
    val readyPort: Int,
    val controlPort: Int,
    val peerPorts: IntRange,
) {
    val callerAddress: SocketAddress get() = SocketAddress(address, callerPort)
    val readyAddress: SocketAddress get() = SocketAddress(address, readyPort)
    val controlAddress: SocketAddress get() = SocketAddress(address, controlPort)
}
