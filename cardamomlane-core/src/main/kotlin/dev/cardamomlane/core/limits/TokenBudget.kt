package dev.cardamomlane.core.limits

/**
 * What one host may spend on the requests of one customer.
 *
 * @property ratePerSecond the tokens a second that the host's share of the customer's rate brings
 * @property levelTokens the tokens that the host may take now
 * @property capacityTokens the most tokens that the host can have
 */
public data class TokenBudget(val ratePerSecond: Double, val levelTokens: Double, val capacityTokens: Double) {
    init {
        require(ratePerSecond >= 0) { "ratePerSecond must not be negative but was $ratePerSecond" }
        require(levelTokens >= 0) { "levelTokens must not be negative but was $levelTokens" }
        require(capacityTokens > 0) { "capacityTokens must be positive but was $capacityTokens" }
    }
}
