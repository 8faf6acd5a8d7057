package dev.cardamomlane.core.queue

/**
 * A [ConcurrencyLimit] that follows the queueing seen in the target's service times.
 *
 * Several hosts share the slots of a target without talking about them. A host sees that the others use the slots
 * because its own statements take longer. The limit grows by one after a round without queueing in which it was used
 * in full, and shrinks by a factor after a round with queueing. The service time without queueing is the lowest recent
 * mean of a round; it drifts up slowly so that a target which has become slower is accepted as such.
 *
 * @param slots the statements that the target runs at once, which the limit never exceeds
 */
public class AdaptiveLimit(private val slots: Int) : ConcurrencyLimit {
    private var exactLimit = slots.toDouble()
    private var unqueuedMillis = Double.NaN
    private var roundCount = 0
    private var roundSumMillis = 0.0
    private var usedInFull = false

    init {
        require(slots >= 1) { "slots must be at least 1 but was $slots" }
    }

    override val limit: Int
        get() = exactLimit.toInt()

    override fun observe(serviceMillis: Double, runningCount: Int) {
        require(serviceMillis >= 0) { "serviceMillis must not be negative but was $serviceMillis" }
        roundCount++
        roundSumMillis += serviceMillis
        usedInFull = usedInFull || runningCount >= limit
        if (roundCount >= ROUND_STATEMENTS) endRound()
    }

    private fun endRound() {
        val meanMillis = roundSumMillis / roundCount
        learnUnqueued(meanMillis)
        if (meanMillis > unqueuedMillis * QUEUEING_RATIO) {
            exactLimit = maxOf(1.0, exactLimit * DECREASE_FACTOR)
        } else if (usedInFull) {
            exactLimit = minOf(slots.toDouble(), limit + 1.0)
        }
        roundCount = 0
        roundSumMillis = 0.0
        usedInFull = false
    }

    private fun learnUnqueued(meanMillis: Double) {
        unqueuedMillis =
            if (unqueuedMillis.isNaN() || meanMillis < unqueuedMillis) {
                meanMillis
            } else {
                unqueuedMillis + (meanMillis - unqueuedMillis) * DRIFT_FACTOR
            }
    }

    private companion object {
        const val ROUND_STATEMENTS = 48
        const val QUEUEING_RATIO = 2.0
        const val DECREASE_FACTOR = 0.8
        const val DRIFT_FACTOR = 0.05
    }
}
