package dev.cardamomlane.core.limits

import java.util.TreeMap

/**
 * Decides which requests of one customer may take a token while the customer is over its rate: those of more urgent
 * priorities first.
 *
 * Each priority's recent demand is measured. When all of it together would empty the bucket soon, the rate is divided:
 * each priority first gets a tenth of the rate, or its demand if that is less, and the rest goes to the priorities in
 * order. Each priority's part fills a credit of which an admitted request takes one. Otherwise every request is
 * admitted.
 *
 * An admitted request still needs a token, so this class can only lower what [DemandShareLimiter] admits.
 *
 * Not safe for use by several threads.
 */
public class PriorityAdmission {
    private val classes = TreeMap<Int, PriorityClass>()
    private var firstRequestAtMillis: Long? = null
    private var refusedCount = 0L

    /** Decides on a request of [priority], lower numbers being more urgent, with what this host can spend now. */
    public fun decide(priority: Int, budget: TokenBudget, nowMillis: Long): Admission {
        if (firstRequestAtMillis == null) firstRequestAtMillis = nowMillis
        val own = classes.getOrPut(priority) { PriorityClass() }
        val partPerSecond = partPerSecond(priority, budget, nowMillis)
        own.demand.add(1, timeConstantMillis(budget), nowMillis)
        own.refill(partPerSecond, nowMillis)
        if (own.take()) return Admission.Admitted
        return Admission.Refused(RefusalReason.LESS_URGENT, retryAfterMillis())
    }

    /** Counts [count] requests of [priority] that were refused before they reached this host as demand. */
    public fun onRefusedElsewhere(priority: Int, count: Int, budget: TokenBudget, nowMillis: Long) {
        require(count >= 0) { "count must not be negative but was $count" }
        classes.getOrPut(priority) { PriorityClass() }.demand.add(count, timeConstantMillis(budget), nowMillis)
    }

    /** The fraction of the requests of [priority] that is admitted now; 1.0 while the customer is within its rate. */
    public fun admittedFraction(priority: Int, budget: TokenBudget, nowMillis: Long): Double {
        val partPerSecond = partPerSecond(priority, budget, nowMillis) ?: return 1.0
        val demand = classes[priority]?.demand ?: return 1.0
        val demandPerSecond = demand.perSecond(timeConstantMillis(budget), nowMillis)
        return if (demandPerSecond <= partPerSecond) 1.0 else partPerSecond / demandPerSecond
    }

    private fun isOverloaded(allPerSecond: Double, budget: TokenBudget): Boolean {
        if (budget.levelTokens > budget.capacityTokens * OPEN_LEVEL) return false
        val emptyingPerSecond = allPerSecond - budget.ratePerSecond
        return emptyingPerSecond * EMPTYING_MILLIS > budget.levelTokens * MILLIS_PER_SECOND
    }

    /**
     * The tokens a second that [priority] may use: what more urgent ones leave, less what is kept for less urgent ones,
     * but at least its own floor. Null while every request is admitted.
     */
    private fun partPerSecond(priority: Int, budget: TokenBudget, nowMillis: Long): Double? {
        val sinceMillis = firstRequestAtMillis ?: return null
        if (nowMillis - sinceMillis < HISTORY_MILLIS) return null
        val timeConstantMillis = timeConstantMillis(budget)
        val demands = classes.mapValues { (_, each) -> each.demand.perSecond(timeConstantMillis, nowMillis) }
        if (!isOverloaded(demands.values.sum(), budget)) return null
        val floorPerSecond = budget.ratePerSecond * minOf(FLOOR_FRACTION, 1.0 / demands.size)
        var leftPerSecond = spendPerSecond(budget)
        var keptPerSecond = demands.values.sumOf { minOf(it, floorPerSecond) }
        for ((each, perSecond) in demands) {
            keptPerSecond -= minOf(perSecond, floorPerSecond)
            val partPerSecond = maxOf(floorPerSecond, leftPerSecond - keptPerSecond)
            if (each == priority) return partPerSecond
            leftPerSecond -= minOf(perSecond, partPerSecond)
        }
        return null
    }

    /** The tokens to spend a second: the rate, corrected so that the bucket returns to its reserve in a second. */
    private fun spendPerSecond(budget: TokenBudget): Double {
        val surplusTokens = budget.levelTokens - budget.capacityTokens * RESERVE_LEVEL
        return (budget.ratePerSecond + surplusTokens)
            .coerceIn(budget.ratePerSecond * MIN_SPEND_FRACTION, budget.ratePerSecond * MAX_SPEND_FRACTION)
    }

    private fun retryAfterMillis(): Long = RetrySpread.afterMillis(HISTORY_MILLIS, refusedCount++)

    private fun timeConstantMillis(budget: TokenBudget): Double =
        (SMOOTHED_TOKENS * MILLIS_PER_SECOND / maxOf(budget.ratePerSecond, 1.0))
            .coerceIn(MIN_TIME_CONSTANT_MILLIS, MAX_TIME_CONSTANT_MILLIS)

    /** The demand of one priority, and the credit of which each admitted request takes one. */
    private class PriorityClass {
        val demand = PriorityDemand()
        private var credit = 1.0
        private var filledAtMillis = 0L

        /** Adds what [partPerSecond] brought since the last call; null gives the credit of one request. */
        fun refill(partPerSecond: Double?, nowMillis: Long) {
            val elapsedMillis = (nowMillis - filledAtMillis).coerceIn(0, CREDIT_MILLIS)
            filledAtMillis = nowMillis
            credit = if (partPerSecond == null) {
                maxOf(1.0, credit)
            } else {
                val maxCredit = 1 + partPerSecond * CREDIT_MILLIS / MILLIS_PER_SECOND
                minOf(maxCredit, credit + partPerSecond * elapsedMillis / MILLIS_PER_SECOND)
            }
        }

        fun take(): Boolean {
            if (credit < 1) return false
            credit--
            return true
        }
    }

    /** The bounds of the decision. */
    public companion object {
        /** The part of the rate that each priority gets at least, if it has the demand. */
        public const val FLOOR_FRACTION: Double = 0.1

        /** How long demand is measured before it decides, and how soon the decision follows a rise of demand. */
        public const val HISTORY_MILLIS: Long = 300

        /** The level, as a fraction of the capacity, above which every request is admitted. */
        private const val OPEN_LEVEL = 0.5

        /** The level that is kept for the variation of urgent demand while the customer is over its rate. */
        private const val RESERVE_LEVEL = 0.25

        /**
         * Demand above the rate matters once it would empty the bucket within this time. Without it, the chance
         * variation of a demand just below the rate would be taken for an overload.
         */
        private const val EMPTYING_MILLIS = 250.0

        /** Bounds of the tokens spent a second, as fractions of the rate. */
        private const val MIN_SPEND_FRACTION = 0.75
        private const val MAX_SPEND_FRACTION = 2.0

        /** The time constant of the measured demand is the time of this many tokens, within the bounds below. */
        private const val SMOOTHED_TOKENS = 16.0
        private const val MIN_TIME_CONSTANT_MILLIS = 150.0
        private const val MAX_TIME_CONSTANT_MILLIS = 500.0

        /** How long unused credit is kept, so that the chance variation of a demand below its part costs nothing. */
        private const val CREDIT_MILLIS = 500L

        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
