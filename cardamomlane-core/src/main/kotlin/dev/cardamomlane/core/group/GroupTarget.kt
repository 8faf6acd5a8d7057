package dev.cardamomlane.core.group

import dev.cardamomlane.core.TargetId

/**
 * A target of a database group as seen from this host.
 *
 * @property zoneDistance 0 in this host's availability zone, greater for farther availability zones
 */
public data class GroupTarget(val id: TargetId, val zoneDistance: Int = 0) {
    init {
        require(zoneDistance >= 0) { "zoneDistance must not be negative but was $zoneDistance" }
    }
}
