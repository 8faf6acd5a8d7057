package dev.cardamomlane.core.limits

import kotlin.math.exp

/** An exponentially weighted moving average of one priority's requests a second, whose time constant may change. */
internal class PriorityDemand {
    private var valuePerSecond = 0.0
    private var updatedAtMillis = 0L

    fun add(count: Int, timeConstantMillis: Double, nowMillis: Long) {
        valuePerSecond = perSecond(timeConstantMillis, nowMillis) + count * MILLIS_PER_SECOND / timeConstantMillis
        updatedAtMillis = nowMillis
    }

    fun perSecond(timeConstantMillis: Double, nowMillis: Long): Double {
        if (nowMillis <= updatedAtMillis) return valuePerSecond
        return valuePerSecond * exp((updatedAtMillis - nowMillis) / timeConstantMillis)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
