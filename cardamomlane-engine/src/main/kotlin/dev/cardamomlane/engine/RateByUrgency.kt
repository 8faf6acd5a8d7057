package dev.cardamomlane.engine

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.core.limits.PriorityAdmission
import dev.cardamomlane.core.limits.TokenBudget
import dev.cardamomlane.engine.log.DecisionLog

/**
 * Gives the tokens of the customers that are over their rates to their more urgent operations, with one
 * [PriorityAdmission] for each customer. Counts and logs what is refused for that reason.
 *
 * Not safe for use by several threads.
 */
internal class RateByUrgency(private val log: DecisionLog) {
    private val customers = HashMap<CustomerId, CustomerState>()

    /** Operations refused by priority since the start. */
    var refusedCount = 0L
        private set

    /** Returns the refusal of an operation that must leave [budget] to more urgent ones, or null when there is none. */
    fun refusal(customer: CustomerId, priority: Int, budget: TokenBudget, nowMillis: Long): Admission.Refused? {
        val state = customers.getOrPut(customer) { CustomerState() }
        state.budget = budget
        state.decidedAtMillis = nowMillis
        val admission = state.admission.decide(priority, budget, nowMillis)
        if (admission !is Admission.Refused) return null
        refusedCount++
        state.refusedByPriority.merge(priority, 1, Int::plus)
        val isLogDue = state.loggedAtMillis?.let { nowMillis - it >= LOG_INTERVAL_MILLIS } ?: true
        if (isLogDue) logRefusals(customer, state, budget, nowMillis)
        return admission
    }

    /**
     * The fraction of the operations of [priority] that other hosts should send. Slightly more than is admitted, so
     * that hosts that each leave out a part of few operations waste no tokens.
     */
    fun sendFraction(customer: CustomerId, priority: Int, nowMillis: Long): Double {
        val state = customers[customer] ?: return 1.0
        val budget = state.budget ?: return 1.0
        if (nowMillis - state.decidedAtMillis > MAX_BUDGET_AGE_MILLIS) return 1.0
        val admitted = state.admission.admittedFraction(priority, budget, nowMillis)
        return if (admitted >= 1) 1.0 else minOf(1.0, admitted * SEND_MARGIN)
    }

    /** Counts operations that another host refused by a hint as demand. */
    fun onRefusedElsewhere(customer: CustomerId, priority: Int, count: Int, nowMillis: Long) {
        val state = customers[customer] ?: return
        state.admission.onRefusedElsewhere(priority, count, state.budget ?: return, nowMillis)
    }

    private fun logRefusals(customer: CustomerId, state: CustomerState, budget: TokenBudget, nowMillis: Long) {
        state.loggedAtMillis = nowMillis
        log.event(
            "limits", "refused_by_priority", "customer", customer.value,
            "refused", state.refusedByPriority.entries.joinToString(" ") { (priority, count) -> "$priority:$count" },
            "rate_per_s", budget.ratePerSecond.toInt(), "level", budget.levelTokens.toInt(),
        )
        state.refusedByPriority.clear()
    }

    private class CustomerState {
        val admission = PriorityAdmission()

        /** What could be spent at the last decision, and when that was. */
        var budget: TokenBudget? = null
        var decidedAtMillis = 0L

        /** Operations refused since the last log line. */
        val refusedByPriority = sortedMapOf<Int, Int>()
        var loggedAtMillis: Long? = null
    }

    private companion object {
        /** How many more operations than are admitted should be sent, as a factor. */
        const val SEND_MARGIN = 1.25

        /** An older budget is ignored: for a customer over its rate decisions are much more frequent than this. */
        const val MAX_BUDGET_AGE_MILLIS = 250L

        /** The least time between two log lines about one customer. */
        const val LOG_INTERVAL_MILLIS = 1_000L
    }
}
