package dev.cardamomlane.core.limits

/**
 * What other hosts have recently given out of one customer's allowance, while the customer is new to this host.
 *
 * Not safe for use by several threads.
 *
 * @param startedAtMillis when this host started; what was given out before is not known
 */
internal class RecentUse(private val startedAtMillis: Long) {
    private val uses = ArrayDeque<Use>()

    /**
     * A number of tokens that was given out, known at [atMillis].
     *
     * @property isUpperBound true when it may have been less, so that no debt remains
     * @property sinceMillis the time of the first of several uses
     * @property demandPerSecond if it is above zero and within the rate, the tokens don't count: what was given out then
     *   has been refilled
     */
    class Use(
        val atMillis: Long,
        private val tokens: Double,
        val isUpperBound: Boolean = false,
        private val demandPerSecond: Double = 0.0,
        val sinceMillis: Long = atMillis,
    ) {
        fun mergedWith(later: Use) = Use(later.atMillis, tokens + later.tokens, sinceMillis = sinceMillis)

        /** How many of the [remainingTokens] are gone. */
        fun takenOf(remainingTokens: Double, allowance: Allowance): Double = when {
            !isUpperBound -> tokens
            demandPerSecond > 0 && demandPerSecond <= allowance.ratePerSecond -> 0.0
            else -> tokens.coerceAtMost(maxOf(0.0, remainingTokens))
        }
    }

    /** Adds [use], which is no older than those before. Known uses in quick succession become one. */
    fun add(use: Use) {
        val last = uses.lastOrNull()
        val isMerged = last != null && !last.isUpperBound && !use.isUpperBound &&
            use.atMillis - last.sinceMillis < SPACING_MILLIS
        uses += if (isMerged) uses.removeLast().mergedWith(use) else use
        while (uses.first().atMillis < use.atMillis - WINDOW_MILLIS) uses.removeFirst()
    }

    /** Takes [use] back, as it is known better now. */
    fun remove(use: Use) {
        uses -= use
    }

    /**
     * The tokens that remain of [allowance] now, at most [maxTokens]. All are taken to remain [WINDOW_MILLIS] ago, but none
     * when this host started.
     */
    fun remainingTokens(allowance: Allowance, maxTokens: Double, nowMillis: Long): Double {
        val isStarted = startedAtMillis < nowMillis - WINDOW_MILLIS
        var tokens = if (isStarted) maxTokens else 0.0
        var filledAtMillis = if (isStarted) nowMillis - WINDOW_MILLIS else startedAtMillis
        for (use in uses) {
            if (use.atMillis < filledAtMillis) continue
            tokens = filled(tokens, allowance, maxTokens, use.atMillis - filledAtMillis)
            filledAtMillis = use.atMillis
            tokens -= use.takenOf(tokens, allowance)
        }
        return filled(tokens, allowance, maxTokens, nowMillis - filledAtMillis)
    }

    private fun filled(tokens: Double, allowance: Allowance, maxTokens: Double, millis: Long): Double =
        minOf(maxTokens, tokens + allowance.ratePerSecond * millis / MILLIS_PER_SECOND)

    private companion object {
        /** The longest window in which operators count requests. */
        const val WINDOW_MILLIS = 5_000L

        /** Uses are kept this far apart, so that there are few of them. */
        const val SPACING_MILLIS = 200L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
