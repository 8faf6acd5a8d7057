package dev.cardamomlane.core.capacity

/**
 * Takes a target out of use while it fails statements that the other targets of its group answer.
 *
 * A failure can be the statement's own, so the target's rate of failures is compared with the rate at the others. A
 * target that is out of use is tried again after a pause: with one statement at once, then two, then four. A failure
 * during the trial ends it, and the next pause is twice as long; so a target that goes down and up gets little work.
 */
internal class TargetHealth {
    /** The target's recent failures at this member. */
    val failures = FailureRate()

    private var pauseMillis = FIRST_PAUSE_MILLIS
    private var pausedUntilMillis = Long.MIN_VALUE
    private var trialLimit = 0
    private var trialSuccesses = 0
    private var backInUseAtMillis = 0L

    /** True unless the target is out of use. False also during a trial. */
    var isHealthy: Boolean = true
        private set

    /** How many statements of this member may run at once, apart from the limit. */
    fun maxRunning(nowMillis: Long): Int = when {
        isHealthy -> Int.MAX_VALUE
        nowMillis < pausedUntilMillis -> 0
        else -> trialLimit
    }

    /** 1 for a target like the others, 0 for one that is out of use. */
    fun health(othersRate: Double, nowMillis: Long): Double = when {
        isHealthy -> 1 - (failures.rate - othersRate).coerceIn(0.0, 1.0)
        nowMillis < pausedUntilMillis -> 0.0
        else -> TRIAL_HEALTH * trialLimit
    }

    /**
     * Takes in one answer, or its loss.
     *
     * @param othersRate the rate of failures at the other targets of the group
     * @param peers what other members of the zone saw at this target in the last second
     */
    fun add(isFailure: Boolean, othersRate: Double, peers: List<CapacitySample>, nowMillis: Long) {
        failures.add(isFailure, nowMillis)
        when {
            isHealthy && isFailure && isWorseThan(othersRate, peers) -> takeOutOfUse(nowMillis)
            isHealthy || nowMillis < pausedUntilMillis -> Unit
            isFailure && failures.rate > maxRate(othersRate) -> takeOutOfUse(nowMillis)
            else -> continueTrial(nowMillis)
        }
    }

    private fun isWorseThan(othersRate: Double, peers: List<CapacitySample>): Boolean {
        val maxRate = maxRate(othersRate)
        if (failures.failedCount >= MIN_FAILED && failures.rate > maxRate) return true
        val failedCount = failures.failedCount + peers.sumOf { it.failedPerSecond }
        val totalCount = failures.totalCount + peers.sumOf { it.answeredPerSecond }
        return failedCount >= MIN_FAILED && failedCount / totalCount > maxRate
    }

    private fun maxRate(othersRate: Double): Double = othersRate * OTHERS_FACTOR + MIN_EXCESS

    private fun takeOutOfUse(nowMillis: Long) {
        if (isHealthy && nowMillis - backInUseAtMillis > STABLE_MILLIS) pauseMillis = FIRST_PAUSE_MILLIS
        isHealthy = false
        pausedUntilMillis = nowMillis + pauseMillis
        pauseMillis = minOf(MAX_PAUSE_MILLIS, pauseMillis * 2)
        trialLimit = 1
        trialSuccesses = 0
    }

    private fun continueTrial(nowMillis: Long) {
        trialSuccesses++
        if (trialSuccesses < trialLimit * SUCCESSES_PER_STATEMENT) return
        trialSuccesses = 0
        trialLimit *= 2
        if (trialLimit <= MAX_TRIAL_LIMIT) return
        isHealthy = true
        backInUseAtMillis = nowMillis
        failures.clear()
    }

    private companion object {
        /** Two recent failures, which have decayed a little. A single one may be chance. */
        const val MIN_FAILED = 1.9

        /** The target must fail more often than this multiple of the others' rate. */
        const val OTHERS_FACTOR = 2.0

        /** Added to that multiple, so that a target is not compared with 0 while the others fail nothing. */
        const val MIN_EXCESS = 0.08

        /** The pause before the first trial. It doubles with each failed trial. */
        const val FIRST_PAUSE_MILLIS = 500L
        const val MAX_PAUSE_MILLIS = 4_000L

        /** A target that was back in use for this long starts again with the first pause. */
        const val STABLE_MILLIS = 10_000L

        /** The answers that a step of the trial needs for each statement that it lets run at once. */
        const val SUCCESSES_PER_STATEMENT = 2

        /** The statements at once in the last step of a trial. */
        const val MAX_TRIAL_LIMIT = 4

        /** The health of a target on trial, for each statement that it may run at once. */
        const val TRIAL_HEALTH = 0.1
    }
}
