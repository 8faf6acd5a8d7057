package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.limits.RetrySpread

/**
 * The hints of members about customers that are over their rates, by customer and priority, on a host that forwards
 * operations. Decides which operations are sent, and counts the others, so that the member learns the whole demand.
 *
 * A hint only saves the way to the member and back: tokens are counted at the member alone.
 *
 * Not safe for use by several threads.
 */
internal class ForwardingHints {
    private val entries = HashMap<Key, Entry>()

    /** Operations refused on this host since its start because of a hint. */
    var refusedCount = 0L
        private set

    /** Takes the hint of an answer, which replaces the last one; null ends it. */
    fun onAnswer(customerName: String, priority: Int, hint: SendHint?, nowMillis: Long) {
        val key = Key(customerName, priority)
        val isValid = hint != null && hint.fraction < 1 && hint.holdMillis > 0
        if (!isValid) {
            entries[key]?.untilMillis = nowMillis
            return
        }
        val entry = entries.getOrPut(key) { Entry() }
        entry.fraction = maxOf(MIN_FRACTION, checkNotNull(hint).fraction.toDouble())
        entry.untilMillis = nowMillis + minOf(hint.holdMillis, MAX_HOLD_MILLIS)
    }

    /**
     * Returns null if the next operation is to be sent, or the time after which a refused caller may try again. An
     * operation that is to be sent takes along what [takeRefusedCount] returns.
     */
    fun retryAfterMillis(customerName: String, priority: Int, nowMillis: Long): Long? {
        val entry = entries[Key(customerName, priority)] ?: return null
        if (nowMillis >= entry.untilMillis) return null
        entry.credit = minOf(1.0, entry.credit) + entry.fraction
        if (entry.credit >= 1) {
            entry.credit--
            return null
        }
        entry.refusedCount++
        entry.refusedAtMillis = nowMillis
        refusedCount++
        return RetrySpread.afterMillis(RETRY_MILLIS, refusedCount)
    }

    /** How many operations were refused since the last call; 0 when that is so long ago that it is no demand now. */
    fun takeRefusedCount(customerName: String, priority: Int, nowMillis: Long): Int {
        val key = Key(customerName, priority)
        val entry = entries[key] ?: return 0
        val count = if (nowMillis - entry.refusedAtMillis > MAX_HOLD_MILLIS) 0 else entry.refusedCount
        entry.refusedCount = 0
        if (nowMillis - entry.untilMillis > MAX_HOLD_MILLIS) entries.remove(key)
        return count
    }

    private data class Key(val customerName: String, val priority: Int)

    private class Entry {
        var fraction = 1.0
        var untilMillis = 0L
        var credit = 0.5
        var refusedCount = 0
        var refusedAtMillis = 0L
    }

    companion object {
        /** The part of the operations that is sent at least, so that the end of the overload is noticed. */
        const val MIN_FRACTION = 0.1

        /** The longest time that a hint holds. */
        const val MAX_HOLD_MILLIS = 500

        /** Members decide by about this much of recent demand, so an earlier attempt would be refused too. */
        private const val RETRY_MILLIS = 300L
    }
}
