package dev.cardamomlane.core.retry

/**
 * Limits retries to a fraction of the requests that arrive, so that a failing database group does not get more load
 * from retries than from callers.
 *
 * Each request adds [ratio] of a retry to the budget, up to [maxRetries]; each retry takes one. The budget starts full,
 * so that a host with few requests can retry too.
 */
public class RetryBudget(private val ratio: Double = 0.1, private val maxRetries: Double = 20.0) {
    init {
        require(ratio in 0.0..1.0) { "ratio must be between 0 and 1 but was $ratio" }
        require(maxRetries >= 1) { "maxRetries must be at least 1 but was $maxRetries" }
    }

    private var retries = maxRetries

    /** Adds to the budget for a request that arrived. Not called for its retries. */
    public fun onRequest() {
        retries = minOf(maxRetries, retries + ratio)
    }

    /** Takes one retry from the budget, or returns false if less than one is left. */
    public fun tryRetry(): Boolean {
        if (retries < 1) return false
        retries -= 1
        return true
    }
}
