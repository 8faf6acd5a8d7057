package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.GroupRecord
import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetStatus

/**
 * Decides from the answers of a group's targets how a takeover goes on.
 *
 * Of the replicas the one that has received most is ordered. While an order is open, see [OpenOrders], its target is
 * ordered again as long as it answers, and neither another target nor the old primary is published.
 */
internal class TargetChoice(
    private val group: DatabaseGroup,
    private val trigger: ReplacementTrigger,
    private val orders: OpenOrders,
    private val mustQueryAllReplicas: () -> Boolean,
) {
    /** The next step of the takeover that [record] claims, whose targets have been queried for [waitedMillis]. */
    fun next(
        record: GroupRecord,
        answers: Map<Target, TargetStatus>,
        waitedMillis: Long,
        nowMillis: Long,
    ): TakeoverStep {
        val promoted = answers.entries.filter { (target, status) ->
            status.isPrimary && target.entry.id != record.primary && status.term > record.term
        }.maxByOrNull { it.value.term }
        val ordered = orders.target(nowMillis)
        return when {
            promoted != null && (ordered == null || ordered == promoted.key.entry.id) ->
                TakeoverStep.Publish(promoted.key, promoted.value.term)
            promoted != null -> TakeoverStep.Wait
            ordered != null -> {
                val entry = answers.entries.firstOrNull { it.key.entry.id == ordered } ?: return TakeoverStep.Wait
                orderAgain(record, entry.key, entry.value, nowMillis)
            }
            else -> choose(record, answers, waitedMillis, nowMillis)
        }
    }

    private fun orderAgain(record: GroupRecord, target: Target, status: TargetStatus, nowMillis: Long): TakeoverStep =
        when {
            status.isPrimary && target.entry.id == record.primary ->
                TakeoverStep.Keep(target, "an order to promote it is open")
            status.isPrimary || orders.isNotRunning(target.entry.id, nowMillis) -> TakeoverStep.Wait
            else -> TakeoverStep.Order(target, status)
        }

    private fun choose(
        record: GroupRecord,
        answers: Map<Target, TargetStatus>,
        waitedMillis: Long,
        nowMillis: Long,
    ): TakeoverStep {
        val old = answers.entries.firstOrNull { (target, status) ->
            status.isPrimary && target.entry.id == record.primary && status.term >= record.term
        }
        val candidates = answers.filter { (target, status) ->
            !status.isPrimary && trigger.isEligible(target) && !orders.isNotRunning(target.entry.id, nowMillis)
        }
        val best = candidates.entries.maxWithOrNull(
            compareBy({ it.value.received }, { -trigger.unreachableCount(it.key, nowMillis) }),
        )
        val isCatchUpOver = waitedMillis > CATCH_UP_MILLIS
        return when {
            best == null -> keepIf(isCatchUpOver, old?.key, "no replica can become primary")
            record.isPlanned && old != null && best.value.received < old.value.received ->
                keepIf(isCatchUpOver, old.key, "no replica caught up")
            mustQueryAllReplicas() && !hasAllReplicas(record, answers) && waitedMillis < ALL_REPLICAS_MILLIS ->
                TakeoverStep.Wait
            record.order?.let { it.fence == record.fence && it.target != best.key.entry.id } ?: false ->
                TakeoverStep.ClaimAgain
            else -> TakeoverStep.Order(best.key, best.value)
        }
    }

    private fun keepIf(isDue: Boolean, old: Target?, reason: String): TakeoverStep =
        if (isDue && old != null) TakeoverStep.Keep(old, reason) else TakeoverStep.Wait

    /** A replica that has recently left the list counts as well: it may be back, and may have what no other one has. */
    private fun hasAllReplicas(record: GroupRecord, answers: Map<Target, TargetStatus>): Boolean =
        group.targets.filter { it.entry.id != record.primary }.all { it in answers }

    companion object {
        /** How long a replica may take to catch up with an old primary that still answers, before that one is kept. */
        const val CATCH_UP_MILLIS = 700L

        /** How long a takeover that needs every replica waits for the ones that don't answer. */
        const val ALL_REPLICAS_MILLIS = 8_000L
    }
}
