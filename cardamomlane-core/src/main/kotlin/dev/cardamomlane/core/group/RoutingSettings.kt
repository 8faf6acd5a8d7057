package dev.cardamomlane.core.group

/**
 * The weights and bounds of routing.
 *
 * @property loadCostMillis expected extra latency for each statement in progress at a target
 * @property zoneCostMillis expected extra latency for each step of availability-zone distance
 * @property primaryCostMillis extra latency that a read accepts to keep load off the primary
 * @property maxWaitMillis the longest wait for a replica to catch up that one [RouteChoice.Wait] proposes
 * @property lagMarginMillis added to the estimated replay lag to get the time at which a replica should have caught up
 * @property termValidMillis how long requests are routed after a majority of targets last confirmed the current term
 * @property replicaTimeoutMillis how long a replica gets reads after its last answer
 * @property ageHeadroomMillis the part of a read's maximum age reserved for sending the read, at most half of it
 * @property retryWaitMillis the wait proposed while no usable primary is known
 */
public data class RoutingSettings(
    val loadCostMillis: Double = 1.0,
    val zoneCostMillis: Double = 1.0,
    val primaryCostMillis: Double = 15.0,
    val maxWaitMillis: Long = 250,
    val lagMarginMillis: Long = 5,
    val termValidMillis: Long = 1_500,
    val replicaTimeoutMillis: Long = 1_000,
    val ageHeadroomMillis: Long = 20,
    val retryWaitMillis: Long = 20,
)
