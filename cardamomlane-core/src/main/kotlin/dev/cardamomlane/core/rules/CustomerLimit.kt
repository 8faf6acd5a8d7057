package dev.cardamomlane.core.rules

import dev.cardamomlane.core.CustomerId

/**
 * The rate limit of one customer, which applies to the fleet as a whole.
 *
 * @property ratePerSecond statements per second that are admitted on average
 * @property burst statements that are admitted at once after a pause
 * @property weight the customer's share of a contended target, relative to the weights of other customers
 */
public data class CustomerLimit(
    val customer: CustomerId,
    val ratePerSecond: Double,
    val burst: Double,
    val weight: Int,
) {
    init {
        require(ratePerSecond > 0) { "ratePerSecond of $customer must be positive but was $ratePerSecond" }
        require(burst >= 1) { "burst of $customer must be at least 1 but was $burst" }
        require(weight >= 1) { "weight of $customer must be at least 1 but was $weight" }
    }
}
