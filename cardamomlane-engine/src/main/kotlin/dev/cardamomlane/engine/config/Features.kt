package dev.cardamomlane.engine.config

/**
 * The optional features that this host's settings switch on. All are off by default.
 *
 * @property drainsZones operators may drain an availability zone, and targets that warm up get work slowly
 * @property learnsCapacity the concurrency of each target is learned from its answers at all members
 * @property schedulesByValue where a customer's rate is short, its urgent operations go before others
 */
public data class Features(
    val drainsZones: Boolean = false,
    val learnsCapacity: Boolean = false,
    val schedulesByValue: Boolean = false,
) {
    public companion object {
        /** No optional feature is on. */
        public val NONE: Features = Features()
    }
}
