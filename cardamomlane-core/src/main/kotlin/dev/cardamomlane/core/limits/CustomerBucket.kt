package dev.cardamomlane.core.limits

import dev.cardamomlane.core.fleet.MemberId

/** A loan this host made: [burst] is out of use here until [endsAtMillis]. */
internal class MadeLoan(val sequence: Long, val burst: Double, val endsAtMillis: Long)

/** A loan this host took: [burst] may be used here until [endsAtMillis]. */
internal class TakenLoan(val sequence: Long, val burst: Double, val endsAtMillis: Long, val lenderHolding: Allowance)

/**
 * The token bucket of one customer on one host.
 *
 * It fills at the rate of the host's own holding. Its capacity is the burst of that holding, less what the host lent,
 * plus what it borrowed. The level never exceeds the capacity, so that the levels of all hosts add up to at most the
 * customer's burst.
 */
internal class CustomerBucket(holding: Allowance, level: Double, private var filledAtMillis: Long) {
    var holding: Allowance = holding
        private set
    var levelTokens: Double = level
        private set
    val made: MutableMap<MemberId, MadeLoan> = HashMap(0)
    val taken: MutableMap<MemberId, TakenLoan> = HashMap(0)
    val asks: HolderAsks = HolderAsks()
    val demand: DemandMeter = DemandMeter()
    private var capacity = holding.burst

    /**
     * Brings the bucket up to [nowMillis]. Loans that ended since the last call count as ended over the whole time
     * when they were taken, and as lasting over the whole time when they were made.
     */
    fun advance(nowMillis: Long) {
        if (taken.isNotEmpty() && taken.values.removeIf { nowMillis >= it.endsAtMillis }) refresh()
        val elapsedMillis = nowMillis - filledAtMillis
        if (elapsedMillis > 0) {
            put(holding.ratePerSecond * elapsedMillis / MILLIS_PER_SECOND)
            filledAtMillis = nowMillis
        }
        if (made.isNotEmpty() && made.values.removeIf { nowMillis >= it.endsAtMillis }) refresh()
    }

    /** Recomputes the capacity after a change of the loans and cuts the level to it. */
    fun refresh() {
        val own = maxOf(0.0, holding.burst - made.values.sumOf { it.burst })
        capacity = own + taken.values.sumOf { it.burst }
        levelTokens = minOf(levelTokens, capacity)
    }

    /** Replaces the host's own holding. */
    fun hold(newHolding: Allowance) {
        holding = newHolding
        refresh()
    }

    fun take(tokens: Double) {
        check(levelTokens >= tokens) { "level $levelTokens is below $tokens" }
        levelTokens -= tokens
    }

    /** Adds tokens within the capacity. */
    fun put(tokens: Double) {
        levelTokens = minOf(capacity, levelTokens + tokens)
    }

    /** How long until the host's own rate brings one whole token, or null when it never does. */
    fun millisToToken(): Long? {
        if (levelTokens >= 1) return 0
        if (holding.burst < 1 || holding.ratePerSecond <= 0) return null
        return ((1 - levelTokens) / holding.ratePerSecond * MILLIS_PER_SECOND).toLong() + 1
    }

    /** True when the bucket equals what a new one would be, so that it need not be kept. */
    fun isDefault(nowMillis: Long): Boolean =
        made.isEmpty() && taken.isEmpty() && levelTokens >= holding.burst && demand.idleMillis(nowMillis) >= KEEP_MILLIS

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
        const val KEEP_MILLIS = 10_000L
    }
}
