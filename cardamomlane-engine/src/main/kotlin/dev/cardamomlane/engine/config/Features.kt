package dev.cardamomlane.engine.config

/**
 * The optional features that this host's settings switch on. All are off by default.
 *
 * @property drainsZones operators may drain an availability zone, and targets that warm up get work slowly
 * @property learnsCapacity the concurrency of each target is learned from its answers at all members
 * @property schedulesByValue where room or rate is short, urgent operations go before others
 * @property lendsConnections connections to targets go to the members and customers that need them
 * @property balancesMembers customers move away from members that are overloaded
 */
public data class Features(
    val drainsZones: Boolean = false,
    val learnsCapacity: Boolean = false,
    val schedulesByValue: Boolean = false,
    val lendsConnections: Boolean = false,
    val balancesMembers: Boolean = false,
) {
    public companion object {
        /** No optional feature is on. */
        public val NONE: Features = Features()
    }
}
