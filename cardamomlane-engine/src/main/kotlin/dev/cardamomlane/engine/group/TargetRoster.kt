package dev.cardamomlane.engine.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.capacity.LearnedCapacity
import dev.cardamomlane.core.takeover.PromotionRule
import dev.cardamomlane.engine.fleet.GroupRecords
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetDialer
import dev.cardamomlane.engine.target.TargetEntry
import dev.cardamomlane.engine.target.TargetListener
import dev.cardamomlane.engine.zone.ZoneRules

/**
 * The targets of one group, as the newest list names them, and which of them is primary.
 *
 * Not safe for use by several threads.
 *
 * @param learnedZone this host's availability zone if the capacity of targets is learned, else null
 */
internal class TargetRoster(
    private val group: DatabaseId,
    private val timers: TimerService,
    private val dialer: TargetDialer,
    private val records: GroupRecords,
    private val log: DecisionLog,
    private val listener: TargetListener,
    private val learnedZone: String? = null,
) {
    private val targetsById = LinkedHashMap<TargetId, Target>()
    private var listedFromMillis: Long? = null
    private var leaveBoundMillis = 0L

    /** The listed targets, and those that are no longer listed but still kept for a while. */
    val targets: Collection<Target> get() = targetsById.values

    /** The targets that the newest list names. */
    val listed: List<Target> get() = targets.filter { it.goneAtMillis == null }

    /** True when this host has had lists for so long that it knows of every target that does not count as gone. */
    fun knowsAllTargets(nowMillis: Long): Boolean =
        listedFromMillis?.let { nowMillis - it >= PromotionRule.GONE_MILLIS } ?: false

    /**
     * True when [target] counts as lost with its log: it has been missing from the list for long, or the target that
     * takes over its log, which is listed at its address, has answered.
     */
    fun isLost(target: Target, nowMillis: Long): Boolean {
        val goneAt = target.goneAtMillis ?: return false
        val hasSuccessor = listed.any {
            it.entry.address == target.entry.address && it.lastAnswerAtMillis > GroupRecords.NEVER
        }
        return hasSuccessor || nowMillis - goneAt >= PromotionRule.GONE_MILLIS
    }

    /** The target that the newest record names. Without a record, the only target that reports to be primary. */
    val primary: Target?
        get() {
            val record = records.record(group)
            if (record != null) return targetsById[record.primary]
            return targets.filter { it.entry.isPrimary }.singleOrNull()
        }

    /**
     * Replaces the list of targets by [entries]. A target that is missing gets no new work, and is dropped later.
     *
     * @param connectionShare the most connections that this host opens to each target
     * @param rules what drains of zones and the warm-up of targets ask for
     * @param leaveBoundMillis how soon after a primary reports that it is about to leave it gets no more statements; 0 for at
     *   once
     */
    fun update(entries: Collection<TargetEntry>, connectionShare: Int, rules: ZoneRules, leaveBoundMillis: Long = 0) {
        this.leaveBoundMillis = leaveBoundMillis
        val nowMillis = timers.nowMillis()
        if (listedFromMillis == null && entries.isNotEmpty()) listedFromMillis = nowMillis
        for (entry in entries) {
            val known = targetsById[entry.id]
            val isSame = known != null && known.entry.address == entry.address &&
                known.entry.startedAtUnixMillis == entry.startedAtUnixMillis
            if (isSame) refresh(known, entry) else add(entry)
        }
        val listed = entries.mapTo(HashSet()) { it.id }
        for (target in targets) {
            target.connectionShare = connectionShare
            applyRules(target, rules)
            if (target.entry.id !in listed && target.goneAtMillis == null) {
                target.goneAtMillis = nowMillis
                log.event("group", "target_gone", "group", group.value, "target", target.entry.id.value)
            }
        }
        dropGone(nowMillis)
    }

    private fun applyRules(target: Target, rules: ZoneRules) {
        if (!target.zoneGate.apply(rules, target.entry.zone)) return
        val event = if (target.zoneGate.isDraining) "target_drains" else "target_returns"
        log.event("zone", event, "group", group.value, "target", target.entry.id.value, "zone", target.entry.zone)
    }

    private fun refresh(target: Target, entry: TargetEntry) {
        if (target.entry.isDraining != entry.isDraining || target.entry.isPrimary != entry.isPrimary) {
            log.event(
                "group", "target_changed", "group", group.value, "target", entry.id.value,
                "is_draining", entry.isDraining, "is_primary", entry.isPrimary,
            )
        }
        if (entry.isPrimary && !target.entry.isPrimary) target.forgetRole()
        if (entry != target.entry) target.zoneGate.onReport(entry.warmUpMillis)
        target.entry = entry
        target.goneAtMillis = null
    }

    private fun add(entry: TargetEntry) {
        targetsById.remove(entry.id)?.closeAll()
        val target = newTarget(entry)
        target.zoneGate.onReport(entry.warmUpMillis)
        targetsById[entry.id] = target
        log.event("group", "target_listed", "group", group.value, "target", entry.id.value, "address", entry.address)
    }

    private fun newTarget(entry: TargetEntry): Target {
        val target = unboundTarget(entry)
        target.servesWhileLeaving = { servesWhileLeaving(target) }
        return target
    }

    /**
     * True for a primary that is to be replaced before it leaves, from [HANDOVER_MILLIS] on: by then it would have been
     * replaced if a replica had caught up with it, and service goes on there meanwhile.
     */
    private fun servesWhileLeaving(target: Target): Boolean {
        val since = target.leavingSinceMillis ?: return false
        val leavingMillis = timers.nowMillis() - since
        return target === primary && leavingMillis in HANDOVER_MILLIS until leaveBoundMillis - LEAVE_NOTICE_MILLIS
    }

    private fun unboundTarget(entry: TargetEntry): Target {
        val zone = learnedZone ?: return Target(entry, timers, dialer, log, listener)
        val capacity = LearnedCapacity(
            slots = maxOf(1, entry.slotCount),
            zone = zone,
            listener = CapacityLog(entry.id, group, log),
            othersFailureRate = { failureRateExcept(entry.id) },
        )
        return Target(entry, timers, dialer, log, listener, capacity)
    }

    /** The rate of failures of all targets but [id]; 0 while they have answered nothing recently. */
    private fun failureRateExcept(id: TargetId): Double {
        val others = targets.filter { it.entry.id != id }.mapNotNull { it.capacity as? LearnedCapacity }
        val answeredCount = others.sumOf { it.answeredCount }
        return if (answeredCount < 1) 0.0 else others.sumOf { it.failedCount } / answeredCount
    }

    /** Drops the targets that have been missing from the list for long, but never the recorded primary. */
    fun dropGone(nowMillis: Long) {
        val iterator = targetsById.values.iterator()
        while (iterator.hasNext()) {
            val target = iterator.next()
            val goneAt = target.goneAtMillis ?: continue
            val isRecorded = target.entry.id == records.record(group)?.primary
            if (nowMillis - goneAt < GONE_RETENTION_MILLIS || isRecorded) continue
            target.closeAll()
            iterator.remove()
        }
    }

    private companion object {
        /** How long after this host learned that the primary is about to leave nothing is sent there, as it is replaced. */
        const val HANDOVER_MILLIS = 1_000L

        /** How long other hosts may have known before this one that a target is about to leave, and a statement's way there. */
        const val LEAVE_NOTICE_MILLIS = 2_000L

        /** How long a target that is no longer listed is kept, unless the record names it as primary. */
        const val GONE_RETENTION_MILLIS = 10_000L
    }
}
