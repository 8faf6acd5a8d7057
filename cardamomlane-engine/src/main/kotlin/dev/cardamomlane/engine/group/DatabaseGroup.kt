package dev.cardamomlane.engine.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.session.SessionPositions
import dev.cardamomlane.engine.config.Consistency
import dev.cardamomlane.engine.fleet.GroupRecords
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetDialer
import dev.cardamomlane.engine.target.TargetEntry
import dev.cardamomlane.engine.target.TargetListener
import dev.cardamomlane.engine.target.UncertainAnswer
import dev.cardamomlane.engine.zone.ZoneRules

/**
 * One group of databases that replicate from one primary: its targets and their roles, the recent log positions of its
 * primary, and the queue of statements that wait for a target.
 *
 * Not safe for use by several threads.
 *
 * @param zone this host's availability zone; targets in it are preferred
 * @param learnsCapacity true when the concurrency of each target is learned, by
 *   [dev.cardamomlane.core.capacity.LearnedCapacity]
 */
public class DatabaseGroup(
    public val id: DatabaseId,
    private val zone: String,
    private val timers: TimerService,
    dialer: TargetDialer,
    private val records: GroupRecords,
    private val log: DecisionLog,
    private val learnsCapacity: Boolean = false,
) : TargetListener {
    private val roster =
        TargetRoster(id, timers, dialer, records, log, listener = this, learnedZone = zone.takeIf { learnsCapacity })
    private val queue = WorkQueue()
    private val positions = PrimaryPositions()
    private val uncertainAnswers = UncertainAnswerLog(id, timers, log)
    private var probedAtMillis = GroupRecords.NEVER
    private var isStartingQueued = false
    private var rules = ZoneRules.OFF

    private var recordChangedAtMillis = GroupRecords.NEVER
    private var claimFence = 0L

    /** The writes that are under way, and whether they may go on during a takeover. */
    internal val writes = WriteGate(id, records, timers, isPrimary = { it === primary })

    /** The fence of the claim for which this host has stopped sending and acknowledging writes, or 0. */
    public val confirmedFence: Long get() = writes.confirmedFence

    /** Called when [confirmedFence] changes. */
    public var onConfirmed: () -> Unit by writes::onConfirmed

    /** Called when the primary stops answering. */
    public var onPrimaryUnreachable: () -> Unit = {}

    /** The customer in whose name connections are opened that serve no caller, or null while none is known. */
    public var controlCustomer: String? = null

    /** When the last statement was submitted. */
    internal var submittedAtMillis = GroupRecords.NEVER
        private set

    /** The listed targets, and those that are no longer listed but still kept for a while. */
    public val targets: Collection<Target> get() = roster.targets

    /** The targets that the newest list names. */
    internal val listedTargets: List<Target> get() = roster.listed

    /** True when this host has had lists for so long that it knows of every target that does not count as gone. */
    internal fun knowsAllTargets(nowMillis: Long): Boolean = roster.knowsAllTargets(nowMillis)

    /** True when [target] counts as lost with its log, see [dev.cardamomlane.core.takeover.TargetFacts.isGone]. */
    internal fun isLost(target: Target, nowMillis: Long): Boolean = roster.isLost(target, nowMillis)

    /**
     * The target that the newest record names as primary. Without a record, the only target that reports to be primary.
     */
    public val primary: Target? get() = roster.primary

    /** The newest position of the primary, or null. Other hosts may use it to estimate how old a replica's data is. */
    public val newestSample: PositionSample? get() = positions.newest

    /**
     * Replaces the list of targets by [entries]. A target that is missing gets no new work, and is dropped later.
     *
     * @param connectionShare the most connections that this host opens to each target
     * @param rules what drains of zones and the warm-up of targets ask for
     * @param leaveBoundMillis how soon after a primary reports that it is about to leave it gets no more statements; 0 for at
     *   once
     */
    public fun update(
        entries: Collection<TargetEntry>,
        connectionShare: Int,
        rules: ZoneRules = ZoneRules.OFF,
        leaveBoundMillis: Long = 0,
    ) {
        this.rules = rules
        roster.update(entries, connectionShare, rules, leaveBoundMillis)
        startQueued()
    }

    /** Since when each statement that waits for a target has waited. */
    internal fun queuedSinceMillis(): List<Long> = queue.inOrder().filter { !it.isOver }.map { it.queuedAtMillis }

    /** Starts or queues [work]. Refuses it at once when the queue is too long or no primary can be expected soon. */
    public fun submit(work: Work) {
        submittedAtMillis = timers.nowMillis()
        queue.add(work)
        startQueued()
        if (!work.isOver && work in queue) refuseIfTooLate(work)
    }

    /** Starts or queues [work] again after a target did not run it. Refuses it after too many attempts. */
    public fun resubmit(work: Work) {
        if (work.isOver) return
        if (work.attemptCount >= MAX_ATTEMPTS) return work.refuse(ErrorCode.BUSY, "no target ran it")
        queue.add(work)
        startQueued()
    }

    private fun refuseIfTooLate(work: Work) {
        if (isDrained()) return refuseQueued(work, DRAINED_REASON)
        if (work.needsPrimary && !isPrimaryUsable() && !isPrimaryExpected()) {
            return refuseQueued(work, "no primary is in reach", ErrorCode.UNAVAILABLE)
        }
        val expectedMillis = expectedWaitMillis(work)
        if (expectedMillis > work.route.timeoutMillis * EXPECTED_WAIT_FRACTION) refuseQueued(work, "queue is too long")
    }

    private fun refuseQueued(work: Work, reason: String, code: ErrorCode = ErrorCode.BUSY) {
        queue.remove(work)
        work.refuse(code, reason)
    }

    /** How long [work] will probably wait, given the targets that may run it now: replicas that lag are left out. */
    private fun expectedWaitMillis(work: Work): Double {
        val serving = usableTargets(work, placement(work), timers.nowMillis())
        val slots = serving.sumOf { it.slotCount }
        if (slots == 0) return 0.0
        return queue.countAhead(work) * serving.maxOf { it.serviceMillis } / slots
    }

    /** True while writes, and reads that must see every acknowledged write, may be sent to the primary. */
    public fun isPrimaryUsable(): Boolean {
        val nowMillis = timers.nowMillis()
        val target = primary ?: return false
        return isRecordStable(nowMillis) && target.takesWork(nowMillis)
    }

    /**
     * True while this host's proof counts (see [GroupRecords]) and no takeover is under way, so that a position which
     * the primary reports may be used.
     */
    public fun isRecordStable(nowMillis: Long): Boolean =
        records.isCurrent(nowMillis) && records.record(id)?.isChanging != true

    /** True when every target that could serve is in a draining zone. */
    private fun isDrained(): Boolean {
        val serving = roster.targets.filter { it.goneAtMillis == null && !it.entry.isDraining }
        return serving.isNotEmpty() && serving.all { it.zoneGate.isDraining }
    }

    /**
     * True when this host knows of every drain whose bound may be over, so that it may send statements to targets: its
     * proof shows that it was in contact with the others recently.
     */
    private fun knowsDrains(nowMillis: Long): Boolean = !rules.isOn || records.isCurrent(nowMillis)

    /** True when a transaction that is open at [target] may be sent its next statement. */
    internal fun mayContinue(target: Target): Boolean {
        val nowMillis = timers.nowMillis()
        return !target.zoneGate.isPastGrace(nowMillis) && knowsDrains(nowMillis)
    }

    /** True when an operation that got a connection to [target] may still be started there. */
    internal fun mayStart(target: Target): Boolean = !target.zoneGate.isDraining && knowsDrains(timers.nowMillis())

    /** True when a primary is likely to be usable soon, as the takeover or the loss of contact has just begun. */
    private fun isPrimaryExpected(): Boolean {
        val nowMillis = timers.nowMillis()
        val record = records.record(id)
        if (record != null && record.isChanging) return nowMillis - recordChangedAtMillis < TAKEOVER_WAIT_MILLIS
        val target = primary ?: return false
        target.zoneGate.drainingSinceMillis?.let { since ->
            return nowMillis - since < TAKEOVER_WAIT_MILLIS && roster.targets.any { it.isEligible }
        }
        val since = target.unreachableSinceMillis ?: target.goneAtMillis ?: return true
        return nowMillis - since < PRIMARY_RETURN_WAIT_MILLIS
    }

    /** Starts every queued statement for which a usable target has a free slot and an idle connection. */
    public fun startQueued() {
        if (isStartingQueued || queue.isEmpty()) return
        isStartingQueued = true
        try {
            val nowMillis = timers.nowMillis()
            for (work in queue.inOrder()) {
                if (work.isOver) {
                    queue.remove(work)
                } else {
                    tryStart(work, nowMillis)
                }
            }
        } finally {
            isStartingQueued = false
        }
    }

    private fun tryStart(work: Work, nowMillis: Long) {
        val placement = placement(work)
        val candidates = usableTargets(work, placement, nowMillis)
        if (candidates.isEmpty()) return
        val choice = if (learnsCapacity) ReadChoice(work.kind, candidates, nowMillis) else null
        val usable = choice?.usable ?: candidates
        val costOf: (Target) -> Double = { target -> choice?.let { learnedCost(it, target) } ?: cost(target) }
        val ready = usable
            .mapNotNull { target ->
                target.idle(work.customerName, work.state, work.connectionNeed)?.let { target to it }
            }
            .filter { (target, _) -> target.hasSlot() }
            .minByOrNull { (target, connection) -> costOf(target) + connection.setupCost(work.state) }
        if (ready != null) {
            val (target, connection) = ready
            target.take(connection)
            queue.remove(work)
            if (placement is Placement.AnyAtPosition && target === primary) dialReplica(work, usable, costOf)
            work.run(target, connection, placement.requiredOf(target))
        } else if (nowMillis - work.dialedAtMillis > DIAL_INTERVAL_MILLIS) {
            val target = usable.filter { it.hasSlot() }.minByOrNull(costOf) ?: return
            if (target.dial(work.customerName)) work.dialedAtMillis = nowMillis
        }
    }

    /** Opens a connection to a replica after a read went to the primary only because it had an idle connection. */
    private fun dialReplica(work: Work, usable: List<Target>, costOf: (Target) -> Double) {
        val replica = usable.filter { it !== primary && it.connectionCount < it.connectionShare }.minByOrNull(costOf)
        if (replica != null && replica.dialingCount(work.customerName) == 0) replica.dial(work.customerName)
    }

    private fun usableTargets(work: Work, placement: Placement, nowMillis: Long): List<Target> = when (placement) {
        is Placement.Primary ->
            if (isPrimaryUsable()) listOfNotNull(primary).filter { !work.avoids(it, nowMillis) } else emptyList()
        is Placement.AnyAtPosition -> roster.targets.filter { target ->
            val required = placement.requiredOf(target)
            knowsDrains(nowMillis) && target.takesWork(nowMillis) && !work.avoids(target, nowMillis) &&
                (required == null || !isKnownBehind(target, required, nowMillis))
        }
    }

    /** The position that [target] must have applied, or null for the primary, which has every commit that counts. */
    private fun Placement.requiredOf(target: Target): LogPosition? = when (this) {
        is Placement.Primary -> null
        is Placement.AnyAtPosition -> position.takeUnless { target === primary && isPrimaryUsable() }
    }

    private fun isKnownBehind(target: Target, position: LogPosition, nowMillis: Long): Boolean {
        val applied = target.appliedPosition ?: return false
        if (applied >= position) return false
        val lagMillis = positions.lagMillis(applied, nowMillis)
        val recheckMillis = (lagMillis / LAG_RECHECK_DIVISOR).coerceIn(MIN_LAG_RECHECK_MILLIS, MAX_LAG_RECHECK_MILLIS)
        return nowMillis - target.appliedAtMillis < recheckMillis
    }

    private fun cost(target: Target): Double {
        val load = (target.runningCount + 1) * target.serviceMillis / maxOf(1, target.entry.slotCount)
        val zoneCostMillis = if (target.entry.zone == zone) 0.0 else OTHER_ZONE_COST_MILLIS
        val primaryCostMillis = if (target === primary) PRIMARY_COST_MILLIS else 0.0
        return load + target.serviceMillis + zoneCostMillis + primaryCostMillis
    }

    private fun learnedCost(choice: ReadChoice, target: Target): Double =
        choice.expectedMillis(target) + if (target === primary) PRIMARY_COST_MILLIS else 0.0

    private fun placement(work: Work): Placement {
        if (work.needsPrimary || work.route.consistency == Consistency.LATEST) return Placement.Primary
        val sinceMillis = work.arrivedAtMillis - work.route.maxStaleMillis + STALE_MARGIN_MILLIS
        val seen = if (work.route.consistency == Consistency.SESSION) work.positions else SessionPositions.NONE
        val position = seen.required(id, positions.covering(sinceMillis), positions.newest?.position)
        return position?.let(Placement::AnyAtPosition) ?: Placement.Primary
    }

    override fun onCapacity(target: Target) {
        startQueued()
    }

    override fun onUnreachable(target: Target) {
        if (target === primary) onPrimaryUnreachable()
    }

    override fun onReadOnly(target: Target) {
        val nowMillis = timers.nowMillis()
        if (target === primary && nowMillis - probedAtMillis >= PROBE_INTERVAL_MILLIS) probe(target, nowMillis)
    }

    override fun onUncertainAnswer(target: Target, kind: UncertainAnswer): Unit = uncertainAnswers.add(target, kind)

    /** How many answers of [kind] the targets have sent. */
    public fun uncertainAnswerCount(kind: UncertainAnswer): Long = uncertainAnswers.count(kind)

    override fun onPosition(target: Target, sentAtMillis: Long, position: LogPosition) {
        if (target !== primary || target.replicaSinceMillis != null || !isRecordStable(timers.nowMillis())) return
        val record = records.record(id)
        val isOfOlderTerm = record != null && position.term < record.term
        positions.add(target.entry.id, PositionSample(sentAtMillis, position).takeIf { !isOfOlderTerm })
    }

    /** Adds a position of [primaryId] that another host received. Ignored unless it is this host's primary too. */
    public fun learnPosition(primaryId: TargetId, sample: PositionSample) {
        if (primary?.entry?.id == primaryId) positions.add(primaryId, sample)
    }

    /** Applies a newer record of this group, which starts, continues or ends a takeover. */
    public fun onRecord(record: GroupRecord) {
        log.event(
            "group", "record_changed", "group", id.value, "position", record.position, "fence", record.fence,
            "primary", record.primary.value, "is_changing", record.isChanging, "holder", record.holder,
        )
        if (record.isChanging && record.fence == claimFence) return
        recordChangedAtMillis = timers.nowMillis()
        if (record.isChanging) {
            claimFence = record.fence
            return writes.onTakeover(record)
        }
        positions.clearUnlessOf(record.primary)
        roster.primary?.forgetRole()
        probedAtMillis = GroupRecords.NEVER
        writes.onPublished(record)
        probePosition(timers.nowMillis())
        startQueued()
    }

    /** Checks the targets' health, refreshes the primary's position and refuses overdue statements. Called often. */
    public fun tick() {
        val nowMillis = timers.nowMillis()
        for (target in roster.targets.toList()) target.tick(controlCustomer)
        roster.dropGone(nowMillis)
        probePosition(nowMillis)
        val isDrained = isDrained()
        for (work in queue.inOrder()) {
            val waitedMillis = nowMillis - work.queuedAtMillis
            val lacksPrimary = work.needsPrimary && !isPrimaryUsable() && !isPrimaryExpected()
            when {
                work.isOver -> queue.remove(work)
                isDrained -> refuseQueued(work, DRAINED_REASON)
                waitedMillis > longestWaitMillis(work) -> refuseQueued(work, "waited too long")
                lacksPrimary -> refuseQueued(work, "no primary is in reach", ErrorCode.UNAVAILABLE)
            }
        }
        startQueued()
    }

    private fun longestWaitMillis(work: Work): Long =
        maxOf(work.route.latencyGoalMillis, (work.route.timeoutMillis * MAX_WAIT_FRACTION).toLong())

    private fun probePosition(nowMillis: Long) {
        if (nowMillis - submittedAtMillis > IN_USE_MILLIS || nowMillis - probedAtMillis < PROBE_INTERVAL_MILLIS) return
        val newestMillis = positions.newest?.sentAtMillis ?: GroupRecords.NEVER
        if (nowMillis - newestMillis < SAMPLE_REFRESH_MILLIS) return
        val target = primary ?: return
        if (isRecordStable(nowMillis) && target.unreachableSinceMillis == null && target.goneAtMillis == null) {
            probe(target, nowMillis)
        }
    }

    private fun probe(target: Target, nowMillis: Long) {
        val customer = controlCustomer ?: return
        probedAtMillis = nowMillis
        target.status(customer) { _, _ -> }
    }

    private companion object {
        const val MAX_ATTEMPTS = 8
        const val DRAINED_REASON = "every target is in a draining zone, not run"

        /** A statement is refused at once if its expected wait exceeds this fraction of its timeout. */
        const val EXPECTED_WAIT_FRACTION = 0.5

        /** A statement may wait for this fraction of its timeout, or for its latency goal if that is longer. */
        const val MAX_WAIT_FRACTION = 0.4

        /** How long after contact with the primary was lost statements still wait for one. */
        const val PRIMARY_RETURN_WAIT_MILLIS = 900L

        /** How long after the start of a takeover statements still wait for the new primary. */
        const val TAKEOVER_WAIT_MILLIS = 1_800L

        /** The least time between two dials for one statement. */
        const val DIAL_INTERVAL_MILLIS = 60L

        /** The bounds of the time after which a replica that lags is tried again. */
        const val MIN_LAG_RECHECK_MILLIS = 40L
        const val MAX_LAG_RECHECK_MILLIS = 250L

        /** A replica that lags is tried again after its lag divided by this. */
        const val LAG_RECHECK_DIVISOR = 6

        /** Added to the cost of a target in another availability zone. */
        const val OTHER_ZONE_COST_MILLIS = 2.0

        /** Added to the cost of the primary, so that reads which replicas can run leave it to writes. */
        const val PRIMARY_COST_MILLIS = 12.0

        /** Subtracted from the age that a read accepts. */
        const val STALE_MARGIN_MILLIS = 60L

        /** The primary's position is refreshed only while the group had a statement within this time. */
        const val IN_USE_MILLIS = 3_000L
        const val PROBE_INTERVAL_MILLIS = 250L

        /** The primary's position is queried when the newest known one is older than this. */
        const val SAMPLE_REFRESH_MILLIS = 700L
    }
}
