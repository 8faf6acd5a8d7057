package dev.cardamomlane.core.limits

/**
 * Paces the rounds of asks about one customer: at once while asks bring tokens, ever less often while they don't.
 */
internal class AskPace {
    private var intervalMillis = MIN_INTERVAL_MILLIS
    private var gainedTokens = false

    /** The earliest time of the next round. */
    var nextAtMillis: Long = 0
        private set

    /** Notes that a round starts. */
    fun start(nowMillis: Long, isSteady: Boolean) {
        nextAtMillis = if (isSteady) nowMillis + intervalMillis else nowMillis
        gainedTokens = false
    }

    /** Notes one answer of the round. */
    fun answered(tokens: Double) {
        if (tokens > 0) gainedTokens = true
    }

    /** Notes that the round is over. A customer still without a token waits for [retryAfterMillis] at least. */
    fun finish(nowMillis: Long, hasToken: Boolean, retryAfterMillis: Long) {
        intervalMillis = if (gainedTokens) MIN_INTERVAL_MILLIS else minOf(2 * intervalMillis, MAX_INTERVAL_MILLIS)
        val waitMillis = retryAfterMillis.coerceIn(1, MIN_INTERVAL_MILLIS)
        if (!hasToken) nextAtMillis = maxOf(nextAtMillis, nowMillis + waitMillis)
    }

    private companion object {
        const val MIN_INTERVAL_MILLIS = 25L
        const val MAX_INTERVAL_MILLIS = 400L
    }
}
