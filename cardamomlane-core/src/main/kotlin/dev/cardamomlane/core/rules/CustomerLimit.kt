package dev.cardamomlane.core.rules

import dev.cardamomlane.core.CustomerId

/**
 * What one customer may use over the whole fleet.
 *
 * @property ratePerSecond statements a second in the long run
 * @property burst statements that may come at once after a pause
 * @property weight the customer's part of a contended target, relative to the weights of others
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
