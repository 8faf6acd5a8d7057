package dev.cardamomlane.engine.zone

/**
 * The limits that drains of zones and the warm-up of targets put on one database group.
 *
 * @property isOn false when the feature is off; then the other properties have no effect
 * @property drainingZones the zones whose targets take no new work
 * @property graceMillis how long after this host has learned of a drain open transactions may go on
 * @property warmUpMillis how long a target whose drain has ended warms up
 * @property warmUpPerSecond the statements a second that this host may send to a target that warms up, or null when
 *   there is no limit
 */
public data class ZoneRules(
    val isOn: Boolean,
    val drainingZones: Set<String> = emptySet(),
    val graceMillis: Long = 0,
    val warmUpMillis: Long = 0,
    val warmUpPerSecond: Int? = null,
) {
    public companion object {
        /** The rules while the feature is off. */
        public val OFF: ZoneRules = ZoneRules(isOn = false)
    }
}
