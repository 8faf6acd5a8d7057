package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.GroupRecord
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetStatus

/**
 * Replaces the primary of one group when it is lost, leaves, or is out of reach of many hosts.
 *
 * Any host may lead. It claims the group's record under a new fence, waits until no host can acknowledge a write of
 * the old primary any more, asks the targets what they hold, orders the promotion of the one that holds most, and
 * publishes it. Each step is safe to repeat, and safe when two hosts try: the store lets one claim succeed. A host that
 * finds a claim without progress claims the record anew.
 *
 * Not safe for use by several threads.
 *
 * @param self names this run of this host in records
 */
public class Takeover(
    private val self: String,
    private val group: DatabaseGroup,
    private val fleet: Fleet,
    private val store: ControlStore,
    private val promotion: PromotionCall,
    private val timers: TimerService,
    private val log: DecisionLog,
    private val mustQueryAllReplicas: () -> Boolean,
    private val customerName: () -> String?,
) {
    private val groupRecords = fleet.groupRecords
    private val doubt = PrimaryDoubt(group, fleet, customerName)
    private val demotions = Demotions(group, customerName)
    private var phase: Phase = Phase.Watching
    private var changingSinceMillis = 0L
    private var changingVersion = -1L
    private var plannedPauseUntilMillis = GroupRecords.NEVER
    private var fewSinceMillis: Long? = null
    private var isBusy = false
    private val rejected = HashSet<TargetId>()

    /** Looks at the group and takes the next step. Called at a short interval. */
    public fun tick() {
        val nowMillis = timers.nowMillis()
        noteChange(nowMillis)
        demotions.tick(nowMillis)
        when (val now = phase) {
            is Phase.Watching -> watch(nowMillis)
            is Phase.Claiming -> Unit
            is Phase.Draining -> drain(now, nowMillis)
            is Phase.Surveying -> survey(now, nowMillis)
            is Phase.Promoting -> await(now, nowMillis)
            is Phase.Publishing -> publish(now, nowMillis)
        }
    }

    private fun noteChange(nowMillis: Long) {
        val record = groupRecords.record(group.id)
        if (record != null && record.version != changingVersion) {
            changingVersion = record.version
            changingSinceMillis = nowMillis
            val isOurs = record.isChanging && record.holder == self
            if (!isOurs && phase !is Phase.Watching && phase !is Phase.Claiming) {
                log.event("takeover", "superseded", "group", group.id.value, "fence", record.fence)
                phase = Phase.Watching
            }
        }
    }

    private fun watch(nowMillis: Long) {
        val record = groupRecords.record(group.id)
        if (record != null && record.isChanging) {
            val stalledMillis = nowMillis - changingSinceMillis - fleet.rank(nowMillis) * RANK_STEP_MILLIS
            val patienceMillis = when {
                record.holder == self -> 0
                fleet.isHolderGone(record.holder, nowMillis) -> GONE_HOLDER_MILLIS
                else -> STALLED_MILLIS
            }
            if (stalledMillis >= patienceMillis) claim("stalled takeover", record.isPlanned, nowMillis)
            return
        }
        val reason = doubt.reason(nowMillis, mayPlan = nowMillis >= plannedPauseUntilMillis) ?: return
        val dueMillis = reason.sinceMillis + reason.patienceMillis + fleet.rank(nowMillis) * RANK_STEP_MILLIS
        if (nowMillis >= dueMillis) claim(reason.text, reason.isPlanned, nowMillis)
    }

    private fun claim(reason: String, isPlanned: Boolean, nowMillis: Long) {
        if (!groupRecords.isCurrent(nowMillis) || !fleet.agreesOnMembers(nowMillis)) return
        if (!canBlock(nowMillis)) return
        val old = groupRecords.record(group.id)
        val primaryId = old?.primary ?: group.primary?.entry?.id ?: UNKNOWN_TARGET
        val record = GroupRecord(
            group = group.id,
            version = 0,
            fence = (old?.fence ?: 0) + 1,
            primary = primaryId,
            isChanging = true,
            isPlanned = isPlanned,
            holder = self,
            term = old?.term ?: 0,
        )
        log.event(
            "takeover", "claim", "group", group.id.value, "reason", reason, "fence", record.fence,
            "primary", primaryId.value, "is_planned", isPlanned,
            "proof_age_ms", nowMillis - groupRecords.provedAtMillis,
        )
        phase = Phase.Claiming
        store.writeRecord(record, expectedVersion = old?.version ?: 0).subscribe(
            { onClaim(it, record) },
            { failure -> backToWatching("claim failed: ${failure.message}") },
        )
    }

    private fun onClaim(outcome: StoreWrite, record: GroupRecord) {
        if (outcome !is StoreWrite.Applied) return backToWatching("claim ended with $outcome")
        val claimed = record.copy(version = outcome.version)
        groupRecords.learn(listOf(claimed), GroupRecords.NEVER)
        changingVersion = claimed.version
        rejected.clear()
        phase = Phase.Draining(claimed, claimedAtMillis = timers.nowMillis())
        fleet.heartbeat()
    }

    private fun backToWatching(reason: String) {
        log.event("takeover", "stopped", "group", group.id.value, "reason", reason)
        phase = Phase.Watching
        plannedPauseUntilMillis = timers.nowMillis() + RETRY_PAUSE_MILLIS
        fleet.refresh()
    }

    private fun drain(now: Phase.Draining, nowMillis: Long) {
        val isConfirmed = group.hasConfirmed(now.record.version) && fleet.peers.all { peer ->
            (peer.groupStatus(group.id.value)?.confirmedVersion ?: 0) >= now.record.version
        }
        if (!isConfirmed && !isWaitOver(now, nowMillis)) return
        log.event("takeover", "drained", "group", group.id.value, "is_confirmed", isConfirmed)
        phase = Phase.Surveying(now.record, startedAtMillis = nowMillis)
    }

    /**
     * True when the hosts that are heard, this one included, can keep the others from proof by a majority. Without
     * them a claim would only stop the hosts that still reach the primary.
     */
    private fun canBlock(nowMillis: Long): Boolean {
        if (fleet.aliveCount(nowMillis) >= fleet.blockingCount) {
            fewSinceMillis = null
            return true
        }
        val since = fewSinceMillis ?: nowMillis.also { fewSinceMillis = it }
        return nowMillis - since > NO_MAJORITY_MILLIS
    }

    /**
     * True when proof that hosts got before they knew of the claim counts no more: proof of the store since the claim,
     * proof by the word of others since a majority knew.
     */
    private fun isWaitOver(now: Phase.Draining, nowMillis: Long): Boolean {
        val knowing = 1 + fleet.peers.count { (it.groupStatus(group.id.value)?.version ?: 0) >= now.record.version }
        if (now.enoughKnewAtMillis == null && knowing >= fleet.blockingCount) now.enoughKnewAtMillis = nowMillis
        val enoughKnewAtMillis = now.enoughKnewAtMillis ?: (now.claimedAtMillis + NO_MAJORITY_MILLIS)
        return nowMillis >= maxOf(now.claimedAtMillis, enoughKnewAtMillis) + GroupRecords.MAX_AGE_MILLIS + MARGIN_MILLIS
    }

    private fun survey(now: Phase.Surveying, nowMillis: Long) {
        if (isBusy) return
        val customer = customerName() ?: return
        val isLate = nowMillis - now.startedAtMillis > SURVEY_MILLIS
        val asked = group.targets.filter { it.goneAtMillis == null && (it.unreachableSinceMillis == null || isLate) }
        if (asked.isEmpty()) return
        isBusy = true
        val answers = LinkedHashMap<Target, TargetStatus>()
        var left = asked.size
        for (target in asked) {
            target.status(customer) { status, _ ->
                if (status != null) answers[target] = status
                left--
                if (left == 0) {
                    isBusy = false
                    if (phase === now) decide(now, answers)
                }
            }
        }
    }

    private fun decide(now: Phase.Surveying, answers: Map<Target, TargetStatus>) {
        val record = now.record
        val nowMillis = timers.nowMillis()
        val leading = answers.entries.filter { (target, status) ->
            status.isPrimary && target.entry.id != record.primary && status.term > record.term
        }.maxByOrNull { it.value.term }
        if (leading != null) return publishAs(record, leading.key, leading.value.term)
        val old = answers.entries.firstOrNull { it.key.entry.id == record.primary && it.value.isPrimary }
        val candidates = answers.filter { (target, status) ->
            !status.isPrimary && doubt.mayLead(target) && target.entry.id !in rejected
        }
        val best = candidates.entries.maxWithOrNull(
            compareBy({ it.value.received }, { -doubt.count(it.key, nowMillis) }),
        )
        val waitedMillis = nowMillis - now.startedAtMillis
        val isCatchUpOver = waitedMillis > CATCH_UP_MILLIS
        when {
            best == null ->
                if (old != null && isCatchUpOver) giveUp(record, old.key, "no replica can lead")
            record.isPlanned && old != null && best.value.received < old.value.received ->
                if (isCatchUpOver) giveUp(record, old.key, "no replica caught up")
            mustQueryAllReplicas() && !hasHeardAll(record, answers) && waitedMillis < ALL_REPLICAS_MILLIS -> Unit
            else -> promote(record, best.key, best.value, nowMillis)
        }
    }

    private fun hasHeardAll(record: GroupRecord, answers: Map<Target, TargetStatus>): Boolean =
        group.targets.filter { it.goneAtMillis == null && it.entry.id != record.primary }.all { it in answers }

    /** Ends the takeover with the old primary in place, which was never replaced. */
    private fun giveUp(record: GroupRecord, old: Target, reason: String) {
        log.event("takeover", "given_up", "group", group.id.value, "reason", reason)
        plannedPauseUntilMillis = timers.nowMillis() + GIVE_UP_PAUSE_MILLIS
        phase = Phase.Publishing(record, old.entry.id, record.term)
    }

    private fun promote(record: GroupRecord, target: Target, status: TargetStatus, nowMillis: Long) {
        if (nowMillis - groupRecords.provedAtMillis > PROMOTE_PROOF_MILLIS) {
            fleet.refresh()
            return
        }
        log.event(
            "takeover", "promote", "group", group.id.value, "target", target.entry.id.value, "fence", record.fence,
            "received", status.received, "term", status.term,
        )
        phase = Phase.Promoting(record, target, sentAtMillis = nowMillis)
        promotion.promote(group.id, target.entry.id, record.holder, record.fence).subscribe(
            { outcome -> onPromotion(target, outcome) },
            { failure -> log.event("takeover", "promote_unanswered", "reason", failure.message) },
        )
    }

    private fun onPromotion(target: Target, outcome: PromotionOutcome) {
        log.event("takeover", "promote_answer", "group", group.id.value, "outcome", outcome)
        val now = phase
        if (outcome != PromotionOutcome.NOT_RUNNING || now !is Phase.Promoting || now.target !== target) return
        rejected += target.entry.id
        phase = Phase.Surveying(now.record, startedAtMillis = timers.nowMillis())
    }

    private fun await(now: Phase.Promoting, nowMillis: Long) {
        if (nowMillis - now.sentAtMillis > PROMOTION_TIMEOUT_MILLIS) {
            phase = Phase.Surveying(now.record, startedAtMillis = nowMillis)
            return
        }
        val customer = customerName()
        if (isBusy || customer == null || nowMillis - now.sentAtMillis < PROMOTION_FIRST_LOOK_MILLIS) return
        isBusy = true
        now.target.status(customer) { status, _ ->
            isBusy = false
            if (phase === now && status != null && status.isPrimary) publishAs(now.record, now.target, status.term)
        }
    }

    private fun publishAs(record: GroupRecord, target: Target, term: Long) {
        phase = Phase.Publishing(record, target.entry.id, term)
        publish(phase as Phase.Publishing, timers.nowMillis())
    }

    private fun publish(now: Phase.Publishing, nowMillis: Long) {
        if (isBusy || nowMillis < now.notBeforeMillis) return
        isBusy = true
        val record = now.record.copy(version = 0, primary = now.primary, isChanging = false, term = now.term)
        store.writeRecord(record, expectedVersion = now.record.version).doFinally { isBusy = false }.subscribe(
            { onPublished(now, record, it) },
            { failure -> log.event("takeover", "publish_failed", "reason", failure.message) },
        )
        now.notBeforeMillis = nowMillis + PUBLISH_RETRY_MILLIS
    }

    private fun onPublished(now: Phase.Publishing, record: GroupRecord, outcome: StoreWrite) {
        if (outcome !is StoreWrite.Applied) {
            log.event("takeover", "publish_unsure", "group", group.id.value, "outcome", outcome)
            fleet.refresh()
            return
        }
        phase = Phase.Watching
        changingVersion = outcome.version
        if (now.primary != now.record.primary) demotions.add(now.record.primary, now.term, timers.nowMillis())
        demotions.remove(now.primary)
        groupRecords.learn(listOf(record.copy(version = outcome.version)), GroupRecords.NEVER)
        log.event(
            "takeover", "published", "group", group.id.value, "primary", now.primary.value, "term", now.term,
            "fence", record.fence,
        )
        fleet.heartbeat()
    }

    private sealed interface Phase {
        data object Watching : Phase

        data object Claiming : Phase

        class Draining(val record: GroupRecord, val claimedAtMillis: Long) : Phase {
            var enoughKnewAtMillis: Long? = null
        }

        class Surveying(val record: GroupRecord, val startedAtMillis: Long) : Phase

        class Promoting(val record: GroupRecord, val target: Target, val sentAtMillis: Long) : Phase

        class Publishing(val record: GroupRecord, val primary: TargetId, val term: Long) : Phase {
            var notBeforeMillis = GroupRecords.NEVER
        }
    }

    private companion object {
        val UNKNOWN_TARGET = TargetId("-")
        const val RANK_STEP_MILLIS = 60L
        const val STALLED_MILLIS = 3_000L
        const val GONE_HOLDER_MILLIS = 1_000L
        const val MARGIN_MILLIS = 50L
        const val NO_MAJORITY_MILLIS = 12_000L
        const val SURVEY_MILLIS = 800L
        const val CATCH_UP_MILLIS = 700L
        const val ALL_REPLICAS_MILLIS = 8_000L
        const val PROMOTE_PROOF_MILLIS = 700L
        const val PROMOTION_TIMEOUT_MILLIS = 2_500L
        const val PROMOTION_FIRST_LOOK_MILLIS = 200L
        const val PUBLISH_RETRY_MILLIS = 200L
        const val RETRY_PAUSE_MILLIS = 300L
        const val GIVE_UP_PAUSE_MILLIS = 4_000L
    }
}
