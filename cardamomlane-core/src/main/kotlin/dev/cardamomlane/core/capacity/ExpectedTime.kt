package dev.cardamomlane.core.capacity

/** Estimates when a target would answer one more statement. */
public object ExpectedTime {
    /**
     * The expected time of one more statement that takes [serviceMillis], at a target of which the members use
     * [running] of [limit]: what exceeds the limit waits for those that run.
     */
    public fun millis(running: Double, limit: Int, serviceMillis: Double): Double {
        require(limit >= 1) { "limit must be at least 1 but was $limit" }
        return maxOf(0.0, running + 1 - limit) * serviceMillis / limit + serviceMillis
    }
}
