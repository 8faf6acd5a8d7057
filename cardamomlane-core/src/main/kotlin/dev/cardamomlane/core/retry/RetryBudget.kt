package dev.cardamomlane.core.retry

/**
 * Bounds how many requests are repeated, as a part of those that arrive, so that a group in trouble does not get more
 * load from retries than from callers.
 *
 * Each request adds [ratio] of a retry, up to [maxRetries]; each retry takes one. The budget starts full, so that a
 * quiet host may still retry.
 */
public class RetryBudget(private val ratio: Double = 0.1, private val maxRetries: Double = 20.0) {
    init {
        require(ratio in 0.0..1.0) { "ratio must be between 0 and 1 but was $ratio" }
        require(maxRetries >= 1) { "maxRetries must be at least 1 but was $maxRetries" }
    }

    private var retries = maxRetries

    /** Takes in that a request arrived. */
    public fun onRequest() {
        retries = minOf(maxRetries, retries + ratio)
    }

    /** Takes one retry from the budget, or returns false when it is spent. */
    public fun tryRetry(): Boolean {
        if (retries < 1) return false
        retries -= 1
        return true
    }
}
