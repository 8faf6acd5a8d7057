package dev.cardamomlane.core.fleet

/**
 * The periods and bounds of the fleet.
 *
 * @property standingMillis how long evidence keeps a host in good standing, counted from the sending of the question
 * @property settleMillis how long after a majority heard of a change the others are certain to be out of standing
 */
public data class FleetTimings(
    val heartbeatMillis: Long = 250,
    val standingMillis: Long = 2_500,
    val settleMillis: Long = 3_500,
    val pollMillis: Long = 400,
    val leaseScanMillis: Long = 1_000,
    val minLeasePeriodMillis: Long = 2_000,
    val leaseWritesPerSecond: Int = 30,
) {
    init {
        require(settleMillis > standingMillis) { "settleMillis $settleMillis must be above standingMillis" }
    }

    /** The period of lease renewals in a fleet of [members], which bounds the writes of all of them together. */
    public fun leasePeriodMillis(members: Int): Long =
        maxOf(minLeasePeriodMillis, members * MILLIS_PER_SECOND / leaseWritesPerSecond)

    /** How long a lease lasts without renewal. */
    public fun leaseMillis(members: Int): Long = LEASE_PERIODS * leasePeriodMillis(members)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val LEASE_PERIODS = 3
    }
}
