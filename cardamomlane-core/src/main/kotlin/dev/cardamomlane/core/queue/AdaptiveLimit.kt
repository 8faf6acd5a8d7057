package dev.cardamomlane.core.queue

/**
 * A [ConcurrencyLimit] that adapts to the queueing that shows in the target's service times.
 *
 * Several hosts share the slots of a target without coordinating. A host notices that the others use the slots because
 * its own statements take longer. Statements are evaluated in rounds of [STATEMENTS_PER_ROUND]. A round shows queueing
 * when its mean service time exceeds [QUEUEING_RATIO] times the baseline. The limit grows by one after a round without
 * queueing in which it was reached, and is multiplied by [DECREASE_FACTOR] after a round with queueing.
 *
 * The baseline is the service time without queueing: the lowest recent mean of a round. It moves up slowly, so that a
 * target that has become slower is accepted as such.
 *
 * @param slots how many statements the target runs at once, which the limit never exceeds
 */
public class AdaptiveLimit(private val slots: Int) : ConcurrencyLimit {
    private var exactLimit = slots.toDouble()
    private var baselineMillis = Double.NaN
    private var roundStatements = 0
    private var roundSumMillis = 0.0
    private var usedInFull = false

    init {
        require(slots >= 1) { "slots must be at least 1 but was $slots" }
    }

    override val limit: Int
        get() = exactLimit.toInt()

    override fun observe(serviceMillis: Double, runningCount: Int) {
        require(serviceMillis >= 0) { "serviceMillis must not be negative but was $serviceMillis" }
        roundStatements++
        roundSumMillis += serviceMillis
        usedInFull = usedInFull || runningCount >= limit
        if (roundStatements >= STATEMENTS_PER_ROUND) endRound()
    }

    private fun endRound() {
        val meanMillis = roundSumMillis / roundStatements
        updateBaseline(meanMillis)
        if (meanMillis > baselineMillis * QUEUEING_RATIO) {
            exactLimit = maxOf(1.0, exactLimit * DECREASE_FACTOR)
        } else if (usedInFull) {
            exactLimit = minOf(slots.toDouble(), limit + 1.0)
        }
        roundStatements = 0
        roundSumMillis = 0.0
        usedInFull = false
    }

    private fun updateBaseline(meanMillis: Double) {
        baselineMillis =
            if (baselineMillis.isNaN() || meanMillis < baselineMillis) {
                meanMillis
            } else {
                baselineMillis + (meanMillis - baselineMillis) * DRIFT_FACTOR
            }
    }

    private companion object {
        const val STATEMENTS_PER_ROUND = 48
        const val QUEUEING_RATIO = 2.0
        const val DECREASE_FACTOR = 0.8

        /** The weight of a round's mean in the baseline when the mean is higher. */
        const val DRIFT_FACTOR = 0.05
    }
}
