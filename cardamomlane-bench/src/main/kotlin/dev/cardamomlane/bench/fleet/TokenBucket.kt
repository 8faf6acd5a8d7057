package dev.cardamomlane.bench.fleet

import dev.cardamomlane.core.limits.Allowance

/** A plain token bucket, full at the start. */
internal class TokenBucket(private val limit: Allowance) {
    private var level = limit.burst
    private var filledAtMillis = 0L

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
