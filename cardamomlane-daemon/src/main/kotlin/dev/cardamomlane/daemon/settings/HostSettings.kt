package dev.cardamomlane.daemon.settings

import dev.cardamomlane.core.AvailabilityZone
import dev.cardamomlane.core.HostId
import java.net.InetSocketAddress

/** Who this host is and where it listens. */
internal data class HostSettings(
    val name: HostId,
    val availabilityZone: AvailabilityZone,
    val callerAddress: InetSocketAddress,
    val peerAddress: InetSocketAddress,
    val adminAddress: InetSocketAddress,
)
