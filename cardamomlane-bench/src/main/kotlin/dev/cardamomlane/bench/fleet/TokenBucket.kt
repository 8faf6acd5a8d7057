package dev.cardamomlane.bench.fleet

import dev.cardamomlane.core.limits.Allowance

/** A token bucket that is full at the start. */
internal class TokenBucket(private val limit: Allowance) {
    private var level = limit.burst
    private var filledAtMillis = 0L

    /** Takes a token, or returns false when there is none. Times must not decrease. */
    fun take(nowMillis: Long): Boolean {
        level = minOf(limit.burst, level + (nowMillis - filledAtMillis) * limit.ratePerSecond / MILLIS_PER_SECOND)
        filledAtMillis = nowMillis
        if (level < 1) return false
        level -= 1
        return true
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
