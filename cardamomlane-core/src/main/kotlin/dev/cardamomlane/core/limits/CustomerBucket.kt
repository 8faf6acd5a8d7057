package dev.cardamomlane.core.limits

import dev.cardamomlane.core.fleet.MemberId

/** A loan this host made: [allowance] is out of use here until [endsAtMillis]. */
internal class MadeLoan(val sequence: Long, val allowance: Allowance, val endsAtMillis: Long)

/** A loan this host took: [allowance] may be used here until [endsAtMillis]. */
internal class TakenLoan(
    val sequence: Long,
    val allowance: Allowance,
    val endsAtMillis: Long,
    val lenderHolding: Allowance,
)

/** An ask without an answer yet. */
internal class PendingAsk(val askId: Long, val sentAtMillis: Long)

/**
 * The token bucket of one customer on one host.
 *
 * Its capacity and rate are the host's own holding, less what it lent, plus what it borrowed. The level never exceeds
 * the capacity, so that the levels of all hosts add up to at most the customer's burst.
 */
internal class CustomerBucket(holding: Allowance, level: Double, private var filledAtMillis: Long) {
    var holding: Allowance = holding
        private set
    var levelTokens: Double = level
        private set
    val made: MutableMap<MemberId, MadeLoan> = HashMap(0)
    val taken: MutableMap<MemberId, TakenLoan> = HashMap(0)
    val asks: MutableMap<MemberId, PendingAsk> = HashMap(0)
    val demand: DemandMeter = DemandMeter()
    val pace: AskPace = AskPace()

    var current: Allowance = holding
        private set

    /** What this host may still lend. */
    fun free(): Allowance {
        if (made.isEmpty()) return holding
        return Allowance(
            maxOf(0.0, holding.ratePerSecond - made.values.sumOf { it.allowance.ratePerSecond }),
            maxOf(0.0, holding.burst - made.values.sumOf { it.allowance.burst }),
        )
    }

    /**
     * Brings the bucket up to [nowMillis]. Loans that ended since the last call count as ended over the whole time
     * when they were taken, and as lasting over the whole time when they were made.
     */
    fun advance(nowMillis: Long) {
        val hadTaken = taken.isNotEmpty() && taken.values.removeIf { nowMillis >= it.endsAtMillis }
        if (hadTaken) refresh()
        val elapsedMillis = nowMillis - filledAtMillis
        if (elapsedMillis > 0) {
            levelTokens = minOf(current.burst, levelTokens + current.ratePerSecond * elapsedMillis / MILLIS_PER_SECOND)
            filledAtMillis = nowMillis
        }
        if (made.isNotEmpty() && made.values.removeIf { nowMillis >= it.endsAtMillis }) refresh()
    }

    /** Recomputes rate and capacity after a change of the loans and cuts the level to the capacity. */
    fun refresh() {
        val free = free()
        current = if (taken.isEmpty()) {
            free
        } else {
            Allowance(
                free.ratePerSecond + taken.values.sumOf { it.allowance.ratePerSecond },
                free.burst + taken.values.sumOf { it.allowance.burst },
            )
        }
        levelTokens = minOf(levelTokens, current.burst)
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

    /** Adds tokens that came with share, within the capacity. */
    fun put(tokens: Double) {
        levelTokens = minOf(current.burst, levelTokens + tokens)
    }

    /** How long until one whole token is there, or null when that never happens at the current rate. */
    fun millisToToken(): Long? {
        if (levelTokens >= 1) return 0
        if (current.burst < 1 || current.ratePerSecond <= 0) return null
        return ((1 - levelTokens) / current.ratePerSecond * MILLIS_PER_SECOND).toLong() + 1
    }

    /** True when the bucket equals what a new one would be, so that it need not be kept. */
    fun isDefault(nowMillis: Long): Boolean = made.isEmpty() && taken.isEmpty() && levelTokens >= holding.burst &&
        demand.perSecond(nowMillis) < IDLE_PER_SECOND

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
        const val IDLE_PER_SECOND = 0.01
    }
}
