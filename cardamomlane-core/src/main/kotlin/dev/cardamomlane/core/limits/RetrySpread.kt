package dev.cardamomlane.core.limits

/** Spreads the times at which refused callers may try again, so that they do not return all at once. */
public object RetrySpread {
    /** A step that shares no divisor with the usual intervals, so that successive retry times are far apart. */
    private const val STEP_MILLIS = 113L

    /** Returns the time after which the caller of refusal number [refusedCount] may try again: 1 to 2 [minMillis]. */
    public fun afterMillis(minMillis: Long, refusedCount: Long): Long {
        require(minMillis > 0) { "minMillis must be positive but was $minMillis" }
        return minMillis + refusedCount * STEP_MILLIS % minMillis
    }
}
