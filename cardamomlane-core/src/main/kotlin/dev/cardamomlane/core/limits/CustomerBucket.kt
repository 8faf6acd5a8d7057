package dev.cardamomlane.core.limits

import dev.cardamomlane.core.fleet.MemberId

/** A loan from this host to another: this host must not use [burst] until [endsAtMillis]. */
internal class LentLoan(val sequence: Long, val burst: Double, val endsAtMillis: Long)

/**
 * A loan from another host to this one: [burst] may be used here until [endsAtMillis]. [lenderHolding] is the lender's
 * whole share at the time of the loan.
 */
internal class BorrowedLoan(val sequence: Long, val burst: Double, val endsAtMillis: Long, val lenderHolding: Allowance)

/**
 * The token bucket of one customer on one host.
 *
 * It refills at the rate of the host's own holding. Its capacity is the burst of that holding, minus the burst that
 * the host lent, plus the burst that it borrowed. The level never exceeds the capacity, so that the levels of all hosts
 * add up to at most the customer's burst.
 */
internal class CustomerBucket(holding: Allowance, level: Double, private var filledAtMillis: Long) {
    var holding: Allowance = holding
        private set
    var levelTokens: Double = level
        private set
    val lent: MutableMap<MemberId, LentLoan> = HashMap(0)
    val borrowed: MutableMap<MemberId, BorrowedLoan> = HashMap(0)
    val loanRequests: LoanRequests = LoanRequests()
    val demand: DemandMeter = DemandMeter()
    private var capacity = holding.burst

    /**
     * Refills the bucket up to [nowMillis] and removes ended loans. A loan that ended since the last call is treated as
     * ended during the whole interval if this host borrowed it, and as lent during the whole interval if this host lent
     * it.
     */
    fun advance(nowMillis: Long) {
        if (borrowed.isNotEmpty() && borrowed.values.removeIf { nowMillis >= it.endsAtMillis }) updateCapacity()
        val elapsedMillis = nowMillis - filledAtMillis
        if (elapsedMillis > 0) {
            addTokens(holding.ratePerSecond * elapsedMillis / MILLIS_PER_SECOND)
            filledAtMillis = nowMillis
        }
        if (lent.isNotEmpty() && lent.values.removeIf { nowMillis >= it.endsAtMillis }) updateCapacity()
    }

    /** Recomputes the capacity after the holding or the loans changed, and lowers the level to it if necessary. */
    fun updateCapacity() {
        val own = maxOf(0.0, holding.burst - lent.values.sumOf { it.burst })
        capacity = own + borrowed.values.sumOf { it.burst }
        levelTokens = minOf(levelTokens, capacity)
    }

    fun replaceHolding(newHolding: Allowance) {
        holding = newHolding
        updateCapacity()
    }

    /** Removes [tokens], which must not exceed the level. */
    fun take(tokens: Double) {
        check(levelTokens >= tokens) { "level $levelTokens is below $tokens" }
        levelTokens -= tokens
    }

    /** Adds [tokens]. Those that exceed the capacity are lost. */
    fun addTokens(tokens: Double) {
        levelTokens = minOf(capacity, levelTokens + tokens)
    }

    /** The time until the host's own rate refills one whole token, or null if its holding is too small for that. */
    fun millisToToken(): Long? {
        if (levelTokens >= 1) return 0
        if (holding.burst < 1 || holding.ratePerSecond <= 0) return null
        return ((1 - levelTokens) / holding.ratePerSecond * MILLIS_PER_SECOND).toLong() + 1
    }

    /** True if the customer is idle and a new bucket would have the same state, so that this one can be removed. */
    fun isDefault(nowMillis: Long): Boolean = lent.isEmpty() && borrowed.isEmpty() && levelTokens >= holding.burst &&
        demand.idleMillis(nowMillis) >= IDLE_BEFORE_REMOVAL_MILLIS

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
        const val IDLE_BEFORE_REMOVAL_MILLIS = 10_000L
    }
}
