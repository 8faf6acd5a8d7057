package dev.cardamomlane.core.limits

import dev.cardamomlane.core.fleet.MemberId

/** A loan request without an answer yet. */
internal class PendingLoanRequest(val requestId: Long, val sentAtMillis: Long)

/** The loan requests of this host for one customer, and the time before which each holder is not asked again. */
internal class LoanRequests {
    private val pending = HashMap<MemberId, PendingLoanRequest>(0)
    private val retryAtMillis = HashMap<MemberId, Long>(0)
    private var emptyAnswers = 0
    private var timeouts = 0
    private var nextIndex = 0

    val isWaiting: Boolean get() = pending.isNotEmpty()

    operator fun contains(holder: MemberId): Boolean = holder in pending

    /** The holder to send the next loan request to, in round-robin order, or null if none may be asked yet. */
    fun nextHolder(holders: List<MemberId>, nowMillis: Long): MemberId? {
        for (step in holders.indices) {
            val holder = holders[(nextIndex + step) % holders.size]
            if (holder in pending || nowMillis < (retryAtMillis[holder] ?: nowMillis)) continue
            nextIndex += step + 1
            return holder
        }
        return null
    }

    fun onSent(holder: MemberId, requestId: Long, nowMillis: Long) {
        pending[holder] = PendingLoanRequest(requestId, nowMillis)
    }

    /** Removes and returns the request that an answer of [holder] belongs to, or null if it is no longer pending. */
    fun takeAnswered(holder: MemberId, requestId: Long): PendingLoanRequest? =
        pending[holder]?.takeIf { it.requestId == requestId }?.also {
            pending.remove(holder)
            timeouts = 0
        }

    /** Records how many [tokens] an answer of [holder] brought. Answers without tokens back off exponentially. */
    fun onAnswer(holder: MemberId, tokens: Double, retryAfterMillis: Long, nowMillis: Long) {
        if (tokens > 0) {
            emptyAnswers = 0
            retryAtMillis.remove(holder)
            return
        }
        val backoffMillis = minOf(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS shl minOf(emptyAnswers, MAX_DOUBLINGS))
        emptyAnswers++
        retryAtMillis[holder] = nowMillis + maxOf(backoffMillis, minOf(retryAfterMillis, MAX_RETRY_MILLIS))
    }

    /** Drops requests without an answer for [timeoutMillis] and backs off exponentially from their holders. */
    fun expire(timeoutMillis: Long, nowMillis: Long) {
        if (pending.isEmpty()) return
        val timedOut = pending.filterValues { nowMillis - it.sentAtMillis >= timeoutMillis }.keys
        for (holder in timedOut) {
            pending.remove(holder)
            retryAtMillis[holder] = nowMillis + (MIN_UNREACHABLE_MILLIS shl minOf(timeouts++, MAX_TIMEOUT_DOUBLINGS))
        }
    }

    /** The earliest time at which a holder that was backed off from may be asked again, or null if there is none. */
    fun earliestRetryMillis(): Long? = retryAtMillis.values.minOrNull()

    private companion object {
        const val MIN_BACKOFF_MILLIS = 2L
        const val MAX_BACKOFF_MILLIS = 200L
        const val MAX_DOUBLINGS = 7

        /** Bounds the wait that a holder suggests. The back-off may exceed it. */
        const val MAX_RETRY_MILLIS = 50L

        /** The first wait after a request timed out. */
        const val MIN_UNREACHABLE_MILLIS = 50L
        const val MAX_TIMEOUT_DOUBLINGS = 4
    }
}
