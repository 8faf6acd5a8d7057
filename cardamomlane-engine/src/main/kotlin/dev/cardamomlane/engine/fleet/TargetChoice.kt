package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.takeover.LogReport
import dev.cardamomlane.core.takeover.PromotionDecision
import dev.cardamomlane.core.takeover.PromotionRule
import dev.cardamomlane.core.takeover.TakeoverFacts
import dev.cardamomlane.core.takeover.TargetFacts
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.GroupRecord
import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetStatus
import kotlinx.collections.immutable.toImmutableList

/**
 * Decides from the answers of a group's targets how a takeover goes on.
 *
 * [PromotionRule] names the replica to order. While an order is open, see [OpenOrders], its target is ordered again as
 * long as it answers, and neither another target nor the old primary is published.
 */
internal class TargetChoice(
    private val group: DatabaseGroup,
    private val trigger: ReplacementTrigger,
    private val orders: OpenOrders,
    private val isReplicated: () -> Boolean,
) {
    /** The next step of the takeover [now], given the newest [answers] of the targets and all [reports] of their logs. */
    fun next(
        now: TakeoverPhase.Querying,
        answers: Map<Target, TargetStatus>,
        reports: ReportedLogs,
        nowMillis: Long,
    ): TakeoverStep {
        val record = now.record
        val promoted = answers.entries.filter { (target, status) ->
            status.isPrimary && target.entry.id != record.primary && status.term > record.term
        }.maxByOrNull { it.value.term }
        val ordered = orders.target(nowMillis)
        return when {
            promoted != null && (ordered == null || ordered == promoted.key.entry.id) ->
                TakeoverStep.Publish(promoted.key, promoted.value)
            promoted != null -> TakeoverStep.Wait
            ordered != null -> {
                val entry = answers.entries.firstOrNull { it.key.entry.id == ordered } ?: return TakeoverStep.Wait
                orderAgain(record, entry.key, entry.value, nowMillis)
            }
            else -> choose(now, answers, reports, nowMillis)
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
        now: TakeoverPhase.Querying,
        answers: Map<Target, TargetStatus>,
        reports: ReportedLogs,
        nowMillis: Long,
    ): TakeoverStep = when (val decision = PromotionRule.decide(facts(now, answers, reports, nowMillis))) {
        is PromotionDecision.Wait -> TakeoverStep.Wait
        is PromotionDecision.Keep -> TakeoverStep.Keep(target(now.record.primary), decision.reason)
        is PromotionDecision.Promote -> order(now.record, decision, answers)
    }

    private fun order(
        record: GroupRecord,
        decision: PromotionDecision.Promote,
        answers: Map<Target, TargetStatus>,
    ): TakeoverStep {
        val isFenceUsed = record.order?.let { it.fence == record.fence && it.target != decision.target } ?: false
        val target = target(decision.target)
        return when {
            isFenceUsed -> TakeoverStep.ClaimAgain
            else -> TakeoverStep.Order(target, answers.getValue(target), decision.leftOut)
        }
    }

    private fun target(id: TargetId): Target = group.targets.first { it.entry.id == id }

    private fun facts(
        now: TakeoverPhase.Querying,
        answers: Map<Target, TargetStatus>,
        reports: ReportedLogs,
        nowMillis: Long,
    ) = TakeoverFacts(
        primary = now.record.primary,
        term = now.record.term,
        startOfTerm = now.record.startOfTerm,
        isPlanned = now.record.isPlanned,
        isReplicated = isReplicated(),
        targets = group.targets.map { target ->
            TargetFacts(
                id = target.entry.id,
                answer = answers[target]?.let { LogReport(it.isPrimary, it.term, it.received) },
                received = reports.received(target),
                servesWork = target.isEligible,
                isNotRunning = orders.isNotRunning(target.entry.id, nowMillis),
                isGone = group.isLost(target, nowMillis),
                unreachableCount = trigger.unreachableCount(target, nowMillis),
            )
        }.toImmutableList(),
        knowsAllTargets = group.knowsAllTargets(nowMillis),
        waitedMillis = nowMillis - if (isReplicated()) reports.sinceMillis else now.startedAtMillis,
    )
}
