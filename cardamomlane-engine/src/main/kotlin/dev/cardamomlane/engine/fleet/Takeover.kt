package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.takeover.PromotionRule
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.GroupRecord
import dev.cardamomlane.engine.group.PromotionOrder
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.log.guarded
import dev.cardamomlane.engine.target.StatusQuery
import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetStatus

/**
 * Replaces the primary of one group when it does not answer, drains, or is out of reach of many hosts.
 *
 * Any host may carry out a takeover, and is then the holder of the group's record:
 * 1. It claims the record under a new fence, the fencing token of the promotion.
 * 2. It waits until no host can acknowledge a write of the old primary any more.
 * 3. It queries the targets for their log positions, until [dev.cardamomlane.core.takeover.PromotionRule] names a replica.
 * 4. It stores in the record which replica it will order, and orders its promotion.
 * 5. It publishes the new primary in the record.
 *
 * Each step is safe to repeat, and safe when two hosts try: the store lets one claim succeed. A host that finds a
 * takeover without progress claims the record again, under a higher fence, and orders the target again that the record
 * names: an order without an answer may be carried out late, see [OpenOrders].
 *
 * Not safe for use by several threads.
 *
 * @param self names this incarnation of this host in records, as `host#incarnation`
 * @param isReplicated true when a commit is acknowledged only once a replica has received it: any replica may be the
 *   only one that has it
 * @param customerName a customer to open connections to targets as, or null while none is known
 */
public class Takeover(
    private val self: String,
    private val group: DatabaseGroup,
    private val fleet: Fleet,
    promotion: PromotionCall,
    private val timers: TimerService,
    private val log: DecisionLog,
    private val isReplicated: () -> Boolean,
    private val customerName: () -> String?,
) {
    private val groupRecords = fleet.groupRecords
    private val table = fleet.controlTable
    private val trigger = ReplacementTrigger(group, fleet, isReplicated, customerName)
    private val handover = HandoverCheck(group, customerName)
    private val drain = TakeoverDrain(group, fleet)
    private val demotions = Demotions(group, customerName)
    private val orders = OpenOrders()
    private val choice = TargetChoice(group, trigger, orders, isReplicated)
    private val sender = PromotionSender(group, fleet, promotion, orders, timers, log)
    private var phase: TakeoverPhase = TakeoverPhase.Watching
    private var reports = ReportedLogs(sinceMillis = 0)
    private var observedSinceMillis = 0L
    private var observed: GroupRecord? = null
    private var plannedNotBeforeMillis = GroupRecords.NEVER
    private var claimFailedAtMillis = GroupRecords.NEVER
    private var isCallUnderWay = false

    init {
        sender.onSent = ::onOrdered
        sender.onAnswer = ::onPromotion
    }

    /** Takes the next step that is due, or starts a takeover if there is a reason. Called at a short interval. */
    public fun tick() {
        val nowMillis = timers.nowMillis()
        observeRecord(nowMillis)
        demotions.retryDue(nowMillis)
        when (val now = phase) {
            is TakeoverPhase.Watching -> watch(nowMillis)
            is TakeoverPhase.Claiming -> Unit
            is TakeoverPhase.Draining -> awaitDrain(now, nowMillis)
            is TakeoverPhase.Querying -> queryTargets(now, nowMillis)
            is TakeoverPhase.Ordering -> sender.proceed(now, nowMillis)
            is TakeoverPhase.Promoting -> awaitPromotion(now, nowMillis)
            is TakeoverPhase.Publishing -> publish(now, nowMillis)
        }
    }

    private fun observeRecord(nowMillis: Long) {
        val record = groupRecords.record(group.id) ?: return
        orders.observe(record, nowMillis)
        if (observed?.let(record::isNewerThan) == false) return
        observed = record
        observedSinceMillis = nowMillis
        val isOurs = record.isChanging && record.holder == self
        if (!isOurs && phase !is TakeoverPhase.Watching && phase !is TakeoverPhase.Claiming) {
            log.event("takeover", "superseded", "group", group.id.value, "fence", record.fence)
            phase = TakeoverPhase.Watching
        }
    }

    private fun watch(nowMillis: Long) {
        val record = groupRecords.record(group.id)
        if (record != null && record.isChanging) {
            val stalledMillis = nowMillis - observedSinceMillis - fleet.rank(nowMillis) * RANK_STEP_MILLIS
            val dueAfterMillis = when {
                record.holder == self -> 0
                fleet.isHolderGone(record.holder, nowMillis) -> GONE_HOLDER_MILLIS
                else -> STALLED_HOLDER_MILLIS + drain.informingMillis(nowMillis) +
                    if (isReplicated()) PromotionRule.REPLICA_WAIT_MILLIS else 0
            }
            if (stalledMillis >= dueAfterMillis) claim("stalled takeover", record.isPlanned, nowMillis)
            return
        }
        val mayPlan = nowMillis >= plannedNotBeforeMillis && orders.target(nowMillis) == null
        val reason = trigger.reason(nowMillis, mayPlan) ?: return
        val dueMillis = reason.sinceMillis + reason.minDurationMillis + fleet.rank(nowMillis) * RANK_STEP_MILLIS
        if (nowMillis < dueMillis) return
        if (reason.isPlanned && isReplicated() && !handover.isTimely(nowMillis)) return
        claim(reason.text, reason.isPlanned, nowMillis)
    }

    private fun claim(reason: String, isPlanned: Boolean, nowMillis: Long) {
        if (!groupRecords.isCurrent(nowMillis) || !fleet.agreesOnMembers(nowMillis) || !table.isSettled) return
        if (!drain.mayClaim(nowMillis)) return
        if (fleet.rowsSentAtMillis < claimFailedAtMillis) return fleet.refresh()
        val old = groupRecords.record(group.id)
        val expected = groupRecords.rowPosition(group.id)
        val primaryId = old?.primary ?: group.primary?.entry?.id ?: GroupRecord.NO_TARGET
        val fence = GroupRecord.nextFence(old, expected.epoch)
        val record = GroupRecord(
            group = group.id,
            position = expected,
            fence = fence,
            primary = primaryId,
            isChanging = true,
            isPlanned = isPlanned,
            holder = self,
            term = old?.term ?: 0,
            order = old?.order.takeIf { orders.target(nowMillis) != null },
            takeoverFence = old?.takeoverFenceOf(fence) ?: fence,
            startOfTerm = old?.startOfTerm,
        )
        log.event(
            "takeover", "claim", "group", group.id.value, "reason", reason, "fence", record.fence,
            "primary", primaryId.value, "is_planned", isPlanned, "expected", expected,
            "proof_age_ms", nowMillis - groupRecords.provedAtMillis,
        )
        phase = TakeoverPhase.Claiming
        table.writeRecord(record, expected.version).subscribe(
            log.guarded("takeover") { onClaim(it, record) },
            { failure -> abandonClaim("claim failed: ${failure.message}") },
        )
    }

    private fun onClaim(outcome: StoreWrite, record: GroupRecord) {
        if (outcome !is StoreWrite.Applied) return abandonClaim("store answered the claim with $outcome")
        if (outcome.position.epoch != record.position.epoch) return abandonClaim("the store was restored meanwhile")
        val claimed = record.copy(position = outcome.position)
        groupRecords.learn(listOf(claimed), GroupRecords.NEVER)
        observed = claimed
        phase = TakeoverPhase.Draining(claimed, claimedAtMillis = timers.nowMillis())
        fleet.heartbeat()
    }

    private fun abandonClaim(reason: String) {
        log.event("takeover", "stopped", "group", group.id.value, "reason", reason)
        phase = TakeoverPhase.Watching
        claimFailedAtMillis = timers.nowMillis()
        plannedNotBeforeMillis = claimFailedAtMillis + FAILED_CLAIM_PAUSE_MILLIS
        fleet.refresh()
    }

    private fun awaitDrain(now: TakeoverPhase.Draining, nowMillis: Long) {
        val isMemberListNew = fleet.rowsSentAtMillis >= now.claimedAtMillis
        if (!isMemberListNew) fleet.refresh()
        val isConfirmed = isMemberListNew && drain.isConfirmed(now.record)
        if (!isConfirmed && !drain.hasOldProofExpired(now, nowMillis)) return
        log.event("takeover", "drained", "group", group.id.value, "is_confirmed", isConfirmed)
        val readNotBeforeMillis = if (isConfirmed) now.claimedAtMillis else nowMillis
        reports = ReportedLogs(sinceMillis = nowMillis)
        phase = TakeoverPhase.Querying(now.record, startedAtMillis = nowMillis, readNotBeforeMillis)
    }

    private fun queryTargets(now: TakeoverPhase.Querying, nowMillis: Long) {
        if (isCallUnderWay || nowMillis < now.startedAtMillis) return
        val customer = customerName() ?: return
        val queried = group.targets.filter { mustQuery(it, now, nowMillis) }
        if (queried.isEmpty()) return
        isCallUnderWay = true
        StatusQuery.run(queried, customer) { answers ->
            isCallUnderWay = false
            if (phase === now) decide(now, answers)
        }
    }

    /**
     * An unreachable target could hold up the answers of the others, so it is queried only once they have not sufficed.
     * One that may alone have acknowledged commits is queried whatever is known of it.
     */
    private fun mustQuery(target: Target, now: TakeoverPhase.Querying, nowMillis: Long): Boolean {
        val mayHoldCommits = isReplicated() && target.entry.id != now.record.primary && !now.record.isPlanned
        val isLate = nowMillis - now.startedAtMillis > REACHABLE_ONLY_MILLIS
        return when {
            mayHoldCommits || (isReplicated() && isLate) -> true
            else -> target.goneAtMillis == null && (target.unreachableSinceMillis == null || isLate)
        }
    }

    private fun decide(now: TakeoverPhase.Querying, answers: Map<Target, TargetStatus>) {
        val nowMillis = timers.nowMillis()
        reports.learn(answers)
        val step = choice.next(now, answers, reports, nowMillis)
        logDecision(now, step, answers)
        when (step) {
            is TakeoverStep.Wait -> Unit
            is TakeoverStep.ClaimAgain -> claimAgain(now.record)
            is TakeoverStep.Order -> order(now, step, nowMillis)
            is TakeoverStep.Publish -> publishAs(now.record, step.target, step.status)
            is TakeoverStep.Keep -> giveUp(now.record, step.target, step.reason)
        }
    }

    /** Logs what this host knows of each target, unless it is about to query them again as after its last answers. */
    private fun logDecision(now: TakeoverPhase.Querying, step: TakeoverStep, answers: Map<Target, TargetStatus>) {
        val stepName = step::class.simpleName.orEmpty()
        if (stepName == now.loggedStep) return
        now.loggedStep = stepName
        val leftOut = (step as? TakeoverStep.Order)?.leftOut.orEmpty()
        log.event(
            "takeover", "decided", "group", group.id.value, "fence", now.record.fence, "step", stepName,
            "start_of_term", now.record.startOfTerm, "left_out", leftOut.joinToString(" ") { it.value },
            "targets", group.targets.joinToString(" ") { TargetSummary.of(it, answers[it]) },
        )
    }

    /** Leaves the claim [record] to be followed by another one of this host, at the next tick. */
    private fun claimAgain(record: GroupRecord) {
        log.event("takeover", "claim_again", "group", group.id.value, "fence", record.fence)
        phase = TakeoverPhase.Watching
    }

    /** Ends the takeover by publishing the old primary, which was never replaced. */
    private fun giveUp(record: GroupRecord, old: Target, reason: String) {
        log.event("takeover", "given_up", "group", group.id.value, "reason", reason)
        val isLeaving = old.zoneGate.isDraining || (isReplicated() && old.entry.isDraining)
        val pauseMillis = if (isLeaving) LEAVING_GIVEN_UP_PAUSE_MILLIS else GIVEN_UP_PAUSE_MILLIS
        plannedNotBeforeMillis = timers.nowMillis() + pauseMillis
        phase = TakeoverPhase.Publishing(record, old.entry.id, record.term, record.startOfTerm)
    }

    private fun order(now: TakeoverPhase.Querying, step: TakeoverStep.Order, nowMillis: Long) {
        val record = now.record
        val isRowsOld = fleet.rowsSentAtMillis < now.readNotBeforeMillis
        val isProofOld = nowMillis - groupRecords.provedAtMillis > PromotionSender.MAX_PROOF_MILLIS
        if (isRowsOld || isProofOld) return fleet.refresh()
        if (!sender.isStored(record)) return abandonClaim("the store does not have the claim any more")
        val order = orders.next(record, step.target.entry.id, nowMillis)
        val ordering = TakeoverPhase.Ordering(record, step.target, step.status.received, order)
        phase = ordering
        sender.proceed(ordering, nowMillis)
    }

    private fun onOrdered(record: GroupRecord) {
        val now = phase as? TakeoverPhase.Ordering ?: return
        observed = record
        observedSinceMillis = timers.nowMillis()
        phase = TakeoverPhase.Promoting(record, now.target, sentAtMillis = observedSinceMillis)
    }

    private fun onPromotion(order: PromotionOrder, outcome: PromotionOutcome) {
        log.event(
            "takeover", "promote_answer", "group", group.id.value, "target", order.target.value,
            "fence", order.fence, "attempt", order.attempt, "outcome", outcome,
        )
        val nowMillis = timers.nowMillis()
        orders.answered(order, outcome, nowMillis)
        val record = groupRecords.record(group.id)
        if (record?.isChanging == false && record.primary == order.target) orders.tookEffect(order.target)
        val now = phase as? TakeoverPhase.Promoting ?: return
        if (now.record.order != order) return
        when (outcome) {
            PromotionOutcome.NOT_RUNNING -> phase = querying(now.record, nowMillis)
            PromotionOutcome.NOT_PERFORMED -> phase = querying(now.record, nowMillis + REFUSED_PAUSE_MILLIS)
            PromotionOutcome.ACCEPTED, PromotionOutcome.UNKNOWN -> Unit
        }
    }

    /** Starts to query the targets anew after a promotion that failed. */
    private fun querying(record: GroupRecord, startedAtMillis: Long): TakeoverPhase =
        TakeoverPhase.Querying(record, startedAtMillis, readNotBeforeMillis = timers.nowMillis())

    private fun awaitPromotion(now: TakeoverPhase.Promoting, nowMillis: Long) {
        if (nowMillis - now.sentAtMillis > PROMOTION_TIMEOUT_MILLIS) {
            phase = querying(now.record, nowMillis)
            return
        }
        val customer = customerName()
        if (isCallUnderWay || customer == null || nowMillis - now.sentAtMillis < PROMOTION_FIRST_CHECK_MILLIS) return
        isCallUnderWay = true
        now.target.status(customer) { status, _ ->
            isCallUnderWay = false
            if (phase === now && status != null && status.isPrimary) publishAs(now.record, now.target, status)
        }
    }

    private fun publishAs(record: GroupRecord, target: Target, status: TargetStatus) {
        orders.tookEffect(target.entry.id)
        val startOfTerm = status.received.takeIf { isReplicated() }
        phase = TakeoverPhase.Publishing(record, target.entry.id, status.term, startOfTerm)
        publish(phase as TakeoverPhase.Publishing, timers.nowMillis())
    }

    private fun publish(now: TakeoverPhase.Publishing, nowMillis: Long) {
        if (isCallUnderWay || nowMillis < now.notBeforeMillis) return
        isCallUnderWay = true
        val expected = groupRecords.rowPosition(group.id)
        val record = now.record.copy(
            position = expected,
            primary = now.primary,
            isChanging = false,
            term = now.term,
            order = now.record.order.takeIf { orders.target(nowMillis) != null },
            startOfTerm = now.startOfTerm,
        )
        table.writeRecord(record, expected.version).doFinally { isCallUnderWay = false }.subscribe(
            log.guarded("takeover") { onPublished(now, record, it) },
            { failure -> log.event("takeover", "publish_failed", "reason", failure.message) },
        )
        now.notBeforeMillis = nowMillis + PUBLISH_RETRY_MILLIS
    }

    private fun onPublished(now: TakeoverPhase.Publishing, record: GroupRecord, outcome: StoreWrite) {
        if (outcome !is StoreWrite.Applied) {
            log.event("takeover", "publish_unsure", "group", group.id.value, "outcome", outcome)
            fleet.refresh()
            return
        }
        phase = TakeoverPhase.Watching
        observed = record
        if (now.primary != now.record.primary) demotions.add(now.record.primary, now.term, timers.nowMillis())
        demotions.remove(now.primary)
        groupRecords.learn(listOf(record.copy(position = outcome.position)), GroupRecords.NEVER)
        log.event(
            "takeover", "published", "group", group.id.value, "primary", now.primary.value, "term", now.term,
            "fence", record.fence,
        )
        fleet.heartbeat()
    }

    private companion object {
        /** A claim waits this much longer for each step of [Fleet.rank], so that hosts claim one after another. */
        const val RANK_STEP_MILLIS = 60L

        /**
         * A takeover whose record has not changed for this time is claimed again by another host. Must exceed the wait
         * for old proof to expire, [TakeoverDrain.PROOF_EXPIRY_MILLIS], or a takeover that lacks
         * the confirmation of a host would be claimed again before its promotion. Waits that not every takeover has are
         * added, or hosts would claim one from each other for good.
         */
        const val STALLED_HOLDER_MILLIS = 3_000L

        /**
         * In place of [STALLED_HOLDER_MILLIS] when the holder is not alive. Must be below it, so that another host
         * finishes the takeover sooner; TakeoverTest bounds the time that this takes.
         */
        const val GONE_HOLDER_MILLIS = 1_000L

        /**
         * For this time only the targets that this host reaches are queried, then all that are listed. Of a group whose
         * commits wait for a replica, all targets but the old primary are queried from the start.
         */
        const val REACHABLE_ONLY_MILLIS = 800L

        /**
         * If the target is not primary this long after the order, the targets are queried and it is ordered again, since
         * the order may have been lost. Below [STALLED_HOLDER_MILLIS], so that the record shows progress meanwhile.
         */
        const val PROMOTION_TIMEOUT_MILLIS = 2_500L

        /** The pause after an order that was refused or could not be sent. */
        const val REFUSED_PAUSE_MILLIS = 300L

        /** How long after the order the target's status is first queried, to see whether it is primary. */
        const val PROMOTION_FIRST_CHECK_MILLIS = 200L

        /** The least time between two attempts to publish. */
        const val PUBLISH_RETRY_MILLIS = 200L

        /** After a failed claim a primary that still answers is not replaced for this time. */
        const val FAILED_CLAIM_PAUSE_MILLIS = 300L

        /** After a takeover was given up a primary that still answers is not replaced for this time. */
        const val GIVEN_UP_PAUSE_MILLIS = 4_000L

        /**
         * The same for a primary in a draining zone, which runs nothing that a new attempt would stop, and for one that is
         * about to leave, which a new attempt stops only once a replica has caught up, see [HandoverCheck].
         */
        const val LEAVING_GIVEN_UP_PAUSE_MILLIS = 500L
    }
}
