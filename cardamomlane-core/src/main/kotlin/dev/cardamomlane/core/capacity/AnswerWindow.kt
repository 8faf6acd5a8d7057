package dev.cardamomlane.core.capacity

/** What this member measures at one target in the current window. */
internal class AnswerWindow {
    private var startedAtMillis = Long.MIN_VALUE
    private var changedAtMillis = 0L

    /** The sum of the times for which each statement ran in the window. */
    private var runningMillis = 0.0
    private var tookMillis = 0.0
    private var answeredCount = 0
    private var failedCount = 0

    /** The statements of this member that are running. */
    var runningCount: Int = 0
        private set

    /** The most statements that ran at once in the window. */
    var maxRunningCount: Int = 0
        private set

    /** The mean time of the window's successful answers, or NaN when there were none. */
    val meanMillis: Double
        get() {
            val successCount = answeredCount - failedCount
            return if (successCount > 0) tookMillis / successCount else Double.NaN
        }

    /** The time since the window began. */
    fun durationMillis(nowMillis: Long): Long {
        if (startedAtMillis == Long.MIN_VALUE) restart(nowMillis)
        return nowMillis - startedAtMillis
    }

    /** Changes the number of running statements by [change]. */
    fun changeRunning(change: Int, nowMillis: Long) {
        advance(nowMillis)
        runningCount += change
        maxRunningCount = maxOf(maxRunningCount, runningCount)
    }

    /** Counts one successful answer after [tookMillis]. */
    fun addAnswer(tookMillis: Double) {
        answeredCount++
        this.tookMillis += tookMillis
    }

    /** Counts one failure as an answer without a time. */
    fun addFailure() {
        answeredCount++
        failedCount++
    }

    /**
     * Ends the window and returns its rates.
     *
     * @param workMillis how long its answers would have taken in all at the unloaded target
     * @param limit the concurrency limit in use
     */
    fun end(workMillis: Double, limit: Double, nowMillis: Long): CapacitySample {
        advance(nowMillis)
        val perSecond = MILLIS_PER_SECOND / maxOf(1L, nowMillis - startedAtMillis)
        val sample = CapacitySample(
            running = runningMillis / maxOf(1L, nowMillis - startedAtMillis),
            answeredPerSecond = answeredCount * perSecond,
            failedPerSecond = failedCount * perSecond,
            tookMillisPerSecond = tookMillis * perSecond,
            workMillisPerSecond = workMillis * perSecond,
            limit = limit,
        )
        restart(nowMillis)
        return sample
    }

    private fun advance(nowMillis: Long) {
        if (startedAtMillis == Long.MIN_VALUE) restart(nowMillis)
        runningMillis += runningCount.toDouble() * (nowMillis - changedAtMillis)
        changedAtMillis = nowMillis
    }

    private fun restart(nowMillis: Long) {
        startedAtMillis = nowMillis
        changedAtMillis = nowMillis
        runningMillis = 0.0
        tookMillis = 0.0
        answeredCount = 0
        failedCount = 0
        maxRunningCount = runningCount
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
