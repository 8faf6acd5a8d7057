package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.group.GroupRecord
import dev.cardamomlane.engine.group.PromotionOrder

/**
 * The promotions of one group that were ordered and may still be carried out, as far as this host knows.
 *
 * An order is open until its answer says that it has no effect, until it has taken effect, or until it has been known
 * for [EXPIRY_MILLIS]. While one is open no other target is ordered, so all open orders name one target, and the target
 * of the record's newest order stands for all of them.
 *
 * Not safe for use by several threads.
 */
internal class OpenOrders {
    private val sinceMillis = LinkedHashMap<PromotionOrder, Long>()
    private val settled = HashSet<PromotionOrder>()
    private val accepted = HashSet<PromotionOrder>()
    private val notRunningSinceMillis = HashMap<TargetId, Long>()

    /** Learns of the order in [record], the newest one that is known. Called at a short interval. */
    fun observe(record: GroupRecord, nowMillis: Long) {
        val order = record.order
        if (order == null) {
            sinceMillis.clear()
            settled.clear()
            accepted.clear()
        } else if (order !in settled) {
            sinceMillis.putIfAbsent(order, nowMillis)
        }
    }

    /** The target that an open order names, or null when none is open. */
    fun target(nowMillis: Long): TargetId? = open(nowMillis).lastOrNull()?.target

    /** The order to store before [target] is ordered under the fence of [claim]. */
    fun next(claim: GroupRecord, target: TargetId, nowMillis: Long): PromotionOrder {
        val last = claim.order?.takeIf { it.fence == claim.fence }
        return PromotionOrder(target, claim.fence, (last?.attempt ?: 0) + 1, open(nowMillis).size + 1)
    }

    /** The answer to [order] has arrived. */
    fun answered(order: PromotionOrder, outcome: PromotionOutcome, nowMillis: Long) {
        if (outcome == PromotionOutcome.NOT_RUNNING) notRunningSinceMillis[order.target] = nowMillis
        when (outcome) {
            PromotionOutcome.NOT_RUNNING, PromotionOutcome.NOT_PERFORMED -> settle(order)
            PromotionOutcome.ACCEPTED -> accepted += order
            PromotionOutcome.UNKNOWN -> Unit
        }
    }

    /**
     * The [target] is primary by one of its orders. Those that were accepted have taken effect then, and so has the only
     * one that could. Any other one may still be carried out, and changes nothing while the target is primary.
     */
    fun tookEffect(target: TargetId) {
        val only = sinceMillis.keys.singleOrNull()?.takeIf { it.openCount == 1 && settled.none(accepted::contains) }
        val done = accepted.filter { it.target == target } + listOfNotNull(only?.takeIf { it.target == target })
        done.forEach(::settle)
    }

    /** True when an answer has said of late that [target] is not running. */
    fun isNotRunning(target: TargetId, nowMillis: Long): Boolean =
        notRunningSinceMillis[target]?.let { nowMillis - it < NOT_RUNNING_MILLIS } ?: false

    private fun settle(order: PromotionOrder) {
        sinceMillis.remove(order)
        settled += order
    }

    private fun open(nowMillis: Long): Collection<PromotionOrder> =
        sinceMillis.filterValues { nowMillis - it < EXPIRY_MILLIS }.keys

    companion object {
        /**
         * An order without an answer is taken as one that will never be carried out once it has been known for this
         * time. This is an assumption about the platform, which sets no bound.
         */
        const val EXPIRY_MILLIS = 10_000L

        /** For this time a target that was not running is not ordered again. */
        const val NOT_RUNNING_MILLIS = 3_000L
    }
}
