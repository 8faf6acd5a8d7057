package dev.cardamomlane.core.fleet

/**
 * The periods and time limits of a [FleetMachine].
 *
 * @property heartbeatMillis the period of [FleetEvent.HeartbeatDue], at which a host asks other members
 * @property standingMillis how long evidence keeps a host in good standing (see [FleetMachine.isInStanding]), counted
 *   from the sending of the question
 * @property settleMillis how long after a majority knew of a change it takes effect. Must exceed [standingMillis], so
 *   that every host that does not know of the change is out of good standing by then
 * @property pollMillis the period at which regular pollers read the platform
 * @property leaseScanMillis the least time between two scans of the leases by one host
 * @property minLeasePeriodMillis the least period of lease renewals
 * @property leaseWritesPerSecond the most lease renewals per second of all members together
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

    /** The period of lease renewals in a fleet of [members], long enough to keep to [leaseWritesPerSecond]. */
    public fun leasePeriodMillis(members: Int): Long =
        maxOf(minLeasePeriodMillis, members * MILLIS_PER_SECOND / leaseWritesPerSecond)

    /** How long a lease in a fleet of [members] lasts without renewal. */
    public fun leaseMillis(members: Int): Long = LEASE_PERIODS * leasePeriodMillis(members)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val LEASE_PERIODS = 3
    }
}
