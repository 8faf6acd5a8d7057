package dev.cardamomlane.core.limits

import kotlin.math.exp

/** An exponentially weighted moving average of the rate at which requests arrive. */
internal class DemandMeter {
    private var valuePerSecond = 0.0
    private var lastArrivalMillis = 0L

    fun onArrival(nowMillis: Long) {
        valuePerSecond = perSecond(nowMillis) + MILLIS_PER_SECOND / TIME_CONSTANT_MILLIS
        lastArrivalMillis = nowMillis
    }

    fun perSecond(nowMillis: Long): Double {
        if (valuePerSecond == 0.0 || nowMillis <= lastArrivalMillis) return valuePerSecond
        return valuePerSecond * exp((lastArrivalMillis - nowMillis) / TIME_CONSTANT_MILLIS)
    }

    /** The time since the last request arrived. */
    fun idleMillis(nowMillis: Long): Long = nowMillis - lastArrivalMillis

    private companion object {
        /** The time after which the weight of an arrival has fallen to 1/e. */
        const val TIME_CONSTANT_MILLIS = 1000.0
        const val MILLIS_PER_SECOND = 1000.0
    }
}
