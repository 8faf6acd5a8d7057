package dev.cardamomlane.daemon.settings

import dev.cardamomlane.core.AvailabilityZone
import dev.cardamomlane.core.TargetId
import java.net.InetSocketAddress

/**
 * One target of a database group.
 *
 * @property slots how many statements of the whole fleet the target runs at once
 * @property connections how many connections the target accepts from the whole fleet
 */
internal data class TargetSettings(
    val name: TargetId,
    val availabilityZone: AvailabilityZone,
    val address: InetSocketAddress,
    val slots: Int,
    val connections: Int,
)
