package dev.cardamomlane.core.capacity

import kotlin.math.pow

/**
 * The time that one kind of work takes at a target without queueing, as one member measures it. It includes the round
 * trip.
 *
 * In windows with little load it follows the mean of the answers. In windows with load it only moves down, since
 * queueing makes answers longer and never shorter.
 */
internal class UnloadedTime {
    private var count = 0
    private var sumMillis = 0.0

    /** The estimate, or NaN before the first window ended. */
    var millis: Double = Double.NaN
        private set

    /** The moving mean of the answers, with load, or NaN before the first window ended. */
    var currentMillis: Double = Double.NaN
        private set

    /** The lowest estimate, which moves up slowly. A target without recent answers is assumed to return to it. */
    var lowestMillis: Double = Double.NaN
        private set

    private var answeredAtMillis = 0L

    /**
     * The time that one answer probably takes now: the current mean after recent answers, later more and more what the
     * lowest estimate and the [loadRatio] that other members report imply.
     */
    fun expectedMillis(loadRatio: Double, nowMillis: Long): Double {
        val assumedMillis = lowestMillis * maxOf(1.0, loadRatio)
        val idleMillis = (nowMillis - answeredAtMillis - RECENT_MILLIS).coerceAtLeast(0)
        return assumedMillis + (currentMillis - assumedMillis) * 0.5.pow(idleMillis / IDLE_HALF_LIFE_MILLIS)
    }

    /** Adds one answer to the window. */
    fun add(tookMillis: Double) {
        count++
        sumMillis += tookMillis
    }

    /**
     * Ends the window, and returns the time that its answers would have taken at the unloaded target.
     *
     * @param isUnloaded true when so few statements ran that none queued
     * @param loadRatio by how much the load lengthens the answers of other kinds; used for the first estimate
     */
    fun endWindow(isUnloaded: Boolean, loadRatio: Double, nowMillis: Long): Double {
        if (count == 0) return 0.0
        val meanMillis = sumMillis / count
        if (millis.isNaN()) start(meanMillis, loadRatio)
        val workMillis = count * millis
        when {
            isUnloaded -> millis += (meanMillis - millis) * weight(UNLOADED_WEIGHT)
            meanMillis < millis -> millis += (meanMillis - millis) * weight(LOADED_WEIGHT)
        }
        currentMillis += (meanMillis - currentMillis) * weight(CURRENT_WEIGHT)
        lowestMillis = minOf(millis, lowestMillis + (millis - lowestMillis) * LOWEST_DRIFT)
        answeredAtMillis = nowMillis
        count = 0
        sumMillis = 0.0
        return workMillis
    }

    private fun start(meanMillis: Double, loadRatio: Double) {
        millis = meanMillis / maxOf(1.0, loadRatio)
        currentMillis = meanMillis
        lowestMillis = millis
    }

    /** Windows with few answers count less, so that one odd answer moves little. */
    private fun weight(full: Double): Double = full * minOf(1.0, count / FULL_WEIGHT_COUNT)

    private companion object {
        /** The weight of the newest window with little load in the estimate. */
        const val UNLOADED_WEIGHT = 0.2

        /** The weight of the newest window with load, which only lowers the estimate. */
        const val LOADED_WEIGHT = 0.3

        /** The weight of the newest window in the moving mean. */
        const val CURRENT_WEIGHT = 0.7

        /** The part of its distance to the estimate by which the lowest estimate rises in each window. */
        const val LOWEST_DRIFT = 0.01

        /** How long the moving mean counts in full after an answer. */
        const val RECENT_MILLIS = 400L

        /** How fast a target without answers is assumed to return to the lowest estimate after that. */
        const val IDLE_HALF_LIFE_MILLIS = 700.0

        /** From this number of answers on, a window has its full weight. */
        const val FULL_WEIGHT_COUNT = 4.0
    }
}
