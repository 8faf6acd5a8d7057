package dev.cardamomlane.core.queue

/** A [ConcurrencyLimit] that never changes. */
public class FixedLimit(override val limit: Int) : ConcurrencyLimit {
    init {
        require(limit >= 1) { "limit must be at least 1 but was $limit" }
    }

    override fun observe(serviceMillis: Double, runningCount: Int): Unit = Unit
}
