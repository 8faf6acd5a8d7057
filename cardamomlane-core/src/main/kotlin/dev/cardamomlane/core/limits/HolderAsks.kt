package dev.cardamomlane.core.limits

import dev.cardamomlane.core.fleet.MemberId

/** An ask without an answer yet. */
internal class PendingAsk(val requestId: Long, val sentAtMillis: Long)

/** The asks of one borrower about one customer, and when each holder is worth asking again. */
internal class HolderAsks {
    private val pending = HashMap<MemberId, PendingAsk>(0)
    private val retryAtMillis = HashMap<MemberId, Long>(0)
    private var emptyAnswers = 0
    private var timeouts = 0
    private var turn = 0

    val isWaiting: Boolean get() = pending.isNotEmpty()

    operator fun contains(holder: MemberId): Boolean = holder in pending

    /** The holder to ask now, or null when none is worth asking. Holders take turns. */
    fun next(holders: List<MemberId>, nowMillis: Long): MemberId? {
        for (step in holders.indices) {
            val holder = holders[(turn + step) % holders.size]
            if (holder in pending || nowMillis < (retryAtMillis[holder] ?: nowMillis)) continue
            turn += step + 1
            return holder
        }
        return null
    }

    fun sent(holder: MemberId, requestId: Long, nowMillis: Long) {
        pending[holder] = PendingAsk(requestId, nowMillis)
    }

    /** Takes the ask that an answer of [holder] belongs to, or null when it is no longer waited for. */
    fun answered(holder: MemberId, requestId: Long): PendingAsk? =
        pending[holder]?.takeIf { it.requestId == requestId }?.also {
            pending.remove(holder)
            timeouts = 0
        }

    /** Notes what an answer brought. Holders without tokens are asked ever less often, up to a bound. */
    fun brought(holder: MemberId, tokens: Double, retryAfterMillis: Long, nowMillis: Long) {
        if (tokens > 0) {
            emptyAnswers = 0
            retryAtMillis.remove(holder)
            return
        }
        val backoffMillis = minOf(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS shl minOf(emptyAnswers, MAX_DOUBLINGS))
        emptyAnswers++
        retryAtMillis[holder] = nowMillis + maxOf(backoffMillis, minOf(retryAfterMillis, MAX_RETRY_MILLIS))
    }

    /** Gives up asks without an answer for [timeoutMillis]; their holders are left alone for a while. */
    fun expire(timeoutMillis: Long, nowMillis: Long) {
        if (pending.isEmpty()) return
        val late = pending.filterValues { nowMillis - it.sentAtMillis >= timeoutMillis }.keys
        for (holder in late) {
            pending.remove(holder)
            retryAtMillis[holder] = nowMillis + (MIN_UNREACHABLE_MILLIS shl minOf(timeouts++, MAX_TIMEOUT_DOUBLINGS))
        }
    }

    /** When the next holder is worth asking, or null when nothing is known. */
    fun earliestRetryMillis(): Long? = retryAtMillis.values.minOrNull()

    private companion object {
        const val MIN_BACKOFF_MILLIS = 2L
        const val MAX_BACKOFF_MILLIS = 200L
        const val MAX_DOUBLINGS = 7
        const val MAX_RETRY_MILLIS = 50L
        const val MIN_UNREACHABLE_MILLIS = 50L
        const val MAX_TIMEOUT_DOUBLINGS = 4
    }
}
