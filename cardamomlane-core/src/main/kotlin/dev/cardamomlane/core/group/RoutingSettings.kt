package dev.cardamomlane.core.group

/**
 * The weights and bounds of routing.
 *
 * @property loadCostMillis expected extra latency for each statement in progress at a target
 * @property zoneCostMillis expected extra latency for each step of availability-zone distance
 * @property primaryCostMillis extra latency a read accepts to keep load off the primary
 * @property maxWaitMillis the longest wait for a replica that is proposed at once
 * @property lagMarginMillis added to the estimated replay lag before a replica is expected to have caught up
 * @property quorumTrustMillis how long the current term is trusted after a majority of targets confirmed it
 * @property aliveMillis how long a replica gets work after its last answer
 * @property ageHeadroomMillis the part of a stated age that is kept for the way to the target
 * @property retryWaitMillis the wait proposed while no usable primary is known
 */
public data class RoutingSettings(
    val loadCostMillis: Double = 1.0,
    val zoneCostMillis: Double = 1.0,
    val primaryCostMillis: Double = 15.0,
    val maxWaitMillis: Long = 250,
    val lagMarginMillis: Long = 5,
    val quorumTrustMillis: Long = 1_500,
    val aliveMillis: Long = 1_000,
    val ageHeadroomMillis: Long = 20,
    val retryWaitMillis: Long = 20,
)
