package dev.cardamomlane.daemon.settings

import dev.cardamomlane.core.AvailabilityZone
import dev.cardamomlane.core.TargetId
import java.net.InetSocketAddress

/**
 * One target.
 *
 * @property slots statements that the target runs at once, for the whole fleet
 * @property connections connections that the target accepts, for the whole fleet
 */
internal data class TargetSettings(
    val name: TargetId,
    val availabilityZone: AvailabilityZone,
    val address: InetSocketAddress,
    val slots: Int,
    val connections: Int,
)
