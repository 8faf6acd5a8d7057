package dev.cardamomlane.core.capacity

/**
 * Searches for the concurrency beyond which the throughput of a target does not grow.
 *
 * When statements queue, the load divided by the load ratio is the number of statements that the target really runs at
 * once: at a target that runs four, eight take twice as long. That number becomes the limit. While nothing queues and
 * the limit is used in full, it is probed by steps that double as long as they succeed.
 *
 * It starts low, so that the unloaded times are measured before the target is loaded.
 *
 * @param slots the upper bound of the limit
 */
internal class LimitSearch(private val slots: Int) {
    private var queueingWindows = 0
    private var probeStep = 1.0
    private var nextProbeAtMillis = Long.MIN_VALUE
    private var probe = 0.0

    /** The limit found. */
    var limit: Double = minOf(INITIAL_LIMIT, slots.toDouble())
        private set

    /** The limit in force, which exceeds the one found during a probe. */
    val probedLimit: Double get() = minOf(slots.toDouble(), limit + probe)

    /** Starts from the limit that other members have found. */
    fun adopt(found: Double) {
        limit = found.coerceIn(1.0, slots.toDouble())
    }

    /** Moves the limit towards the mean of those that the other members have found. */
    fun approach(found: Double) {
        if (probe == 0.0) limit += (found.coerceIn(1.0, slots.toDouble()) - limit) * PEER_WEIGHT
    }

    /**
     * Takes in one window.
     *
     * @param running the mean number of statements that ran, of all members
     * @param loadRatio how many times longer their answers took than at the unloaded target
     * @param mayProbe true when this member may probe a limit that is used in full
     */
    fun onWindow(running: Double, loadRatio: Double, mayProbe: Boolean, nowMillis: Long) {
        val isQueueing = loadRatio > queueingRatio() && running >= maxOf(1.0, limit * LOADED_FRACTION)
        queueingWindows = if (isQueueing) queueingWindows + 1 else 0
        when {
            queueingWindows >= CONFIRMING_WINDOWS -> onQueueing(running / loadRatio, nowMillis)
            isQueueing -> Unit
            probe > 0 -> onProbed(running)
            running > limit + USE_TOLERANCE -> limit = minOf(slots.toDouble(), running)
            mayProbe && nowMillis >= nextProbeAtMillis && limit < slots -> probe = probeStep
        }
    }

    private fun onQueueing(measured: Double, nowMillis: Long) {
        val weight = if (probe > 0) 1.0 else MEASURED_WEIGHT
        limit = (limit + (measured - limit) * weight).coerceIn(1.0, slots.toDouble())
        probe = 0.0
        queueingWindows = 0
        probeStep = 1.0
        nextProbeAtMillis = nowMillis + PROBE_PAUSE_MILLIS
    }

    /** Ends a probe during which nothing queued. Its limit is kept only if the limit was used. */
    private fun onProbed(running: Double) {
        if (running > limit - USE_TOLERANCE) {
            limit = probedLimit
            probeStep *= 2
        }
        probe = 0.0
    }

    /** The load ratio above which statements queue: above the noise, and below what one statement too many causes. */
    private fun queueingRatio(): Double = 1 + maxOf(MIN_QUEUEING, ONE_STATEMENT_PART / limit)

    private companion object {
        const val INITIAL_LIMIT = 1.0

        /**
         * The weight of the peers' mean limit. Differences between members come from the noise of their windows, and
         * shrink to a third in about a second.
         */
        const val PEER_WEIGHT = 0.2

        /** Answers that are slow while less than this part of the limit runs are no sign of queueing. */
        const val LOADED_FRACTION = 0.5

        /** The least excess of the load ratio over 1 that counts as queueing. */
        const val MIN_QUEUEING = 0.12

        /** The excess that counts as queueing, as a part of the one that a single statement above the limit causes. */
        const val ONE_STATEMENT_PART = 0.6

        /** The weight of a measured limit outside a probe. */
        const val MEASURED_WEIGHT = 0.7

        /** A difference up to this between the mean running count and the limit is taken for noise. */
        const val USE_TOLERANCE = 0.5

        /**
         * The first window with queueing may have begun before the load did, so that its mean is too low. Two windows
         * are also longer than a heartbeat, so that reports from before the last change of the limit do not change it
         * again.
         */
        const val CONFIRMING_WINDOWS = 2

        /** Callers wait for the time of a probe, so probes of a limit that was found are rare. */
        const val PROBE_PAUSE_MILLIS = 1_500L
    }
}
