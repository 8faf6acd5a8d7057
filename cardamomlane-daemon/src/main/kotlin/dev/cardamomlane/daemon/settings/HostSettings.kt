package dev.cardamomlane.daemon.settings

import dev.cardamomlane.core.AvailabilityZone
import dev.cardamomlane.core.HostId
import java.net.InetSocketAddress

/** The name and availability zone of this host, and the addresses it listens on. */
internal data class HostSettings(
    val name: HostId,
    val availabilityZone: AvailabilityZone,
    val callerAddress: InetSocketAddress,
    val peerAddress: InetSocketAddress,
    val adminAddress: InetSocketAddress,
)
