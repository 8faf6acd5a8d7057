package dev.cardamomlane.engine.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.config.Consistency
import dev.cardamomlane.engine.fleet.Standing
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetDialer
import dev.cardamomlane.engine.target.TargetEntry
import dev.cardamomlane.engine.target.TargetEvents

/**
 * One group of databases: its targets, who leads it, what its log held when, and the statements that wait for it.
 *
 * Not safe for use by several threads.
 *
 * @param zone this host's availability zone, whose targets are preferred
 */
public class DatabaseGroup(
    public val id: DatabaseId,
    private val zone: String,
    private val timers: TimerService,
    private val dialer: TargetDialer,
    private val standing: Standing,
    private val log: DecisionLog,
) : TargetEvents {
    private val targetsById = LinkedHashMap<TargetId, Target>()
    private val waiting = WorkQueue()
    private val trail = PositionTrail()
    private var trailPrimary: TargetId? = null
    private var probedAtMillis = Standing.NEVER
    private var isPumping = false

    private val openWrites = LinkedHashSet<OpenWrite>()
    private val openTransactions = HashSet<Any>()
    private var changedAtMillis = Standing.NEVER

    /** The takeover for which this host has confirmed that it acknowledges no more writes. */
    public var confirmedVersion: Long = 0
        private set

    /** Called when [confirmedVersion] changes. */
    public var onConfirmed: () -> Unit = {}

    /** Called when the primary can't be reached any more. */
    public var onPrimaryUnreachable: () -> Unit = {}

    /** A customer's name to open connections with that serve no caller. */
    public var controlCustomer: String? = null

    /** When the last statement was offered. */
    internal var usedAtMillis = Standing.NEVER
        private set

    /** The targets, gone ones included until they are dropped. */
    public val targets: Collection<Target> get() = targetsById.values

    /** The target that the newest record, or without one the targets themselves, name as primary. */
    public val primary: Target?
        get() {
            val record = standing.record(id)
            if (record != null) return targetsById[record.primary]
            return targetsById.values.filter { it.entry.isPrimary }.singleOrNull()
        }

    /** The newest position of the primary that may be passed on as proof. */
    public val newestSample: PositionSample? get() = trail.newest

    /** Takes in what the targets say of themselves; targets that are not listed are gone. */
    public fun update(entries: Collection<TargetEntry>, connectionShare: Int) {
        val nowMillis = timers.nowMillis()
        for (entry in entries) {
            val known = targetsById[entry.id]
            val isSame = known != null && known.entry.address == entry.address &&
                known.entry.startedAtUnixMillis == entry.startedAtUnixMillis
            if (isSame) refresh(known, entry) else add(entry)
        }
        val listed = entries.mapTo(HashSet()) { it.id }
        for (target in targetsById.values) {
            target.connectionShare = connectionShare
            if (target.entry.id !in listed && target.goneAtMillis == null) {
                target.goneAtMillis = nowMillis
                log.belief("group", "target_gone", "group", id.value, "target", target.entry.id.value)
            }
        }
        dropGone(nowMillis)
        pump()
    }

    private fun refresh(target: Target, entry: TargetEntry) {
        if (target.entry.isDraining != entry.isDraining || target.entry.isPrimary != entry.isPrimary) {
            log.belief(
                "group", "target_changed", "group", id.value, "target", entry.id.value,
                "is_draining", entry.isDraining, "is_primary", entry.isPrimary,
            )
        }
        target.entry = entry
        target.goneAtMillis = null
    }

    private fun add(entry: TargetEntry) {
        targetsById.remove(entry.id)?.closeAll()
        targetsById[entry.id] = Target(entry, timers, dialer, log, this)
        log.belief("group", "target_listed", "group", id.value, "target", entry.id.value, "address", entry.address)
    }

    private fun dropGone(nowMillis: Long) {
        val iterator = targetsById.values.iterator()
        while (iterator.hasNext()) {
            val target = iterator.next()
            val goneAt = target.goneAtMillis ?: continue
            if (nowMillis - goneAt < GONE_KEEP_MILLIS || target.entry.id == standing.record(id)?.primary) continue
            target.closeAll()
            iterator.remove()
        }
    }

    /** Queues [work], or refuses it when it can't be served in time. */
    public fun submit(work: Work) {
        usedAtMillis = timers.nowMillis()
        waiting.add(work)
        pump()
        if (!work.isOver && work in waiting) refuseIfHopeless(work)
    }

    /** Queues [work] again after a target did not run it. */
    public fun resubmit(work: Work) {
        if (work.isOver) return
        if (work.attemptCount >= MAX_ATTEMPTS) return work.refuse(ErrorCode.BUSY, "no target ran it")
        waiting.add(work)
        pump()
    }

    private fun refuseIfHopeless(work: Work) {
        if (work.needsPrimary && !isPrimaryUsable() && !isPrimaryExpected()) {
            return drop(work, "no primary is in reach")
        }
        val expectedMillis = expectedWaitMillis(work)
        if (expectedMillis > work.route.timeoutMillis * HOPELESS_PART) drop(work, "queue is too long")
    }

    private fun drop(work: Work, reason: String) {
        waiting.remove(work)
        work.refuse(ErrorCode.BUSY, reason)
    }

    private fun expectedWaitMillis(work: Work): Double {
        val usable = targetsById.values.filter { it.unreachableSinceMillis == null && it.goneAtMillis == null }
        val serving = if (work.needsPrimary) usable.filter { it === primary } else usable
        val slots = serving.sumOf { it.slotCount }
        if (slots == 0) return 0.0
        return waiting.countAhead(work) * serving.maxOf { it.serviceMillis } / slots
    }

    /** True while the primary may be sent writes and reads that must see every write. */
    public fun isPrimaryUsable(): Boolean {
        val nowMillis = timers.nowMillis()
        val target = primary ?: return false
        return isRecordSteady(nowMillis) && target.takesWork(nowMillis)
    }

    /** True while the record names a primary for certain; an answer of the primary may be passed on. */
    public fun isRecordSteady(nowMillis: Long): Boolean =
        standing.isCurrent(nowMillis) && standing.record(id)?.isChanging != true

    /** True when a primary is likely to be in place soon. */
    private fun isPrimaryExpected(): Boolean {
        val nowMillis = timers.nowMillis()
        val record = standing.record(id)
        if (record != null && record.isChanging) return nowMillis - changedAtMillis < CHANGE_HOPE_MILLIS
        val target = primary ?: return false
        val since = target.unreachableSinceMillis ?: target.goneAtMillis ?: return true
        return nowMillis - since < TAKEOVER_HOPE_MILLIS
    }

    /** Starts every waiting statement that can start. */
    public fun pump() {
        if (isPumping || waiting.isEmpty()) return
        isPumping = true
        try {
            val nowMillis = timers.nowMillis()
            for (work in waiting.inOrder()) {
                if (work.isOver) {
                    waiting.remove(work)
                } else {
                    tryStart(work, nowMillis)
                }
            }
        } finally {
            isPumping = false
        }
    }

    private fun tryStart(work: Work, nowMillis: Long) {
        val need = need(work)
        val usable = candidates(work, need, nowMillis)
        if (usable.isEmpty()) return
        val ready = usable.mapNotNull { target -> target.idle(work.customerName, work.state)?.let { target to it } }
            .filter { (target, _) -> target.hasSlot() }
            .minByOrNull { (target, connection) -> cost(target) + connection.distanceTo(work.state) }
        if (ready != null) {
            val (target, connection) = ready
            target.take(connection)
            waiting.remove(work)
            val isAtPrimary = target === primary && need is ReadNeed.Primary
            if (!isAtPrimary && target === primary) warmReplica(work, usable)
            work.run(target, connection, if (isAtPrimary) null else (need as ReadNeed.AnyHolding).position)
        } else if (nowMillis - work.dialedAtMillis > DIAL_PATIENCE_MILLIS) {
            val target = usable.filter { it.hasSlot() }.minByOrNull(::cost) ?: return
            if (target.dial(work.customerName)) work.dialedAtMillis = nowMillis
        }
    }

    /** Opens a connection to a replica for reads that go to the primary only because it has an idle one. */
    private fun warmReplica(work: Work, usable: List<Target>) {
        val replica = usable.filter { it !== primary && it.connectionCount < it.connectionShare }.minByOrNull(::cost)
        if (replica != null && replica.dialingCount(work.customerName) == 0) replica.dial(work.customerName)
    }

    private fun candidates(work: Work, need: ReadNeed, nowMillis: Long): List<Target> = when (need) {
        is ReadNeed.Primary ->
            if (isPrimaryUsable()) listOfNotNull(primary).filter { !work.avoids(it, nowMillis) } else emptyList()
        is ReadNeed.AnyHolding -> targetsById.values.filter { target ->
            target.takesWork(nowMillis) && !work.avoids(target, nowMillis) &&
                !isBehind(target, need.position, nowMillis)
        }
    }

    private fun isBehind(target: Target, position: LogPosition, nowMillis: Long): Boolean {
        val applied = target.appliedPosition ?: return false
        if (applied >= position) return false
        val lagMillis = trail.lagMillis(applied, nowMillis)
        val lookAgainMillis = (lagMillis / LAG_PART).coerceIn(BEHIND_MILLIS, BEHIND_LONG_MILLIS)
        return nowMillis - target.appliedAtMillis < lookAgainMillis
    }

    private fun cost(target: Target): Double {
        val load = (target.runningCount + 1) * target.serviceMillis / maxOf(1, target.entry.slotCount)
        val zoneMillis = if (target.entry.zone == zone) 0.0 else OTHER_ZONE_MILLIS
        val primaryMillis = if (target === primary) PRIMARY_SPARE_MILLIS else 0.0
        return load + target.serviceMillis + zoneMillis + primaryMillis
    }

    private fun need(work: Work): ReadNeed {
        if (work.needsPrimary || work.route.consistency == Consistency.LATEST) return ReadNeed.Primary
        val sinceMillis = work.arrivedAtMillis - work.route.maxStaleMillis + STALE_MARGIN_MILLIS
        val covering = trail.covering(sinceMillis) ?: return ReadNeed.Primary
        val own = work.ownPosition?.takeIf { work.route.consistency == Consistency.SESSION }
            ?.let { inPresentTerm(it) ?: return ReadNeed.Primary }
        val position = if (own != null && own > covering) own else covering
        return ReadNeed.AnyHolding(position)
    }

    /** A position of an earlier term is replaced by the newest known one, since part of the old log may be gone. */
    private fun inPresentTerm(position: LogPosition): LogPosition? {
        val newest = trail.newest?.position ?: return null
        return if (position.term < newest.term) newest else position
    }

    override fun onCapacity(target: Target) {
        pump()
    }

    override fun onUnreachable(target: Target) {
        if (target === primary) onPrimaryUnreachable()
    }

    override fun onPosition(target: Target, askedAtMillis: Long, position: LogPosition) {
        if (target !== primary || !isRecordSteady(timers.nowMillis())) return
        if (target.entry.id != trailPrimary) {
            trail.clear()
            trailPrimary = target.entry.id
        }
        val record = standing.record(id)
        if (record != null && position.term < record.term) return
        trail.add(PositionSample(askedAtMillis, position))
    }

    /** Takes in a position of [primaryId] that another host got. */
    public fun learnPosition(primaryId: TargetId, sample: PositionSample) {
        val target = primary ?: return
        if (target.entry.id != primaryId) return
        if (trailPrimary != primaryId) {
            trail.clear()
            trailPrimary = primaryId
        }
        trail.add(sample)
    }

    /** Notes a write or commit that was sent; [settled] must follow. */
    internal fun sent(write: OpenWrite) {
        openWrites += write
    }

    /** Notes that the outcome of [write] is known or given up. */
    internal fun settled(write: OpenWrite) {
        if (openWrites.remove(write)) confirmIfDrained()
    }

    /** Notes a transaction at the primary that may write; [ended] must follow. */
    internal fun opened(transaction: Any) {
        openTransactions += transaction
    }

    /** Notes that [transaction] can't write any more. */
    internal fun ended(transaction: Any) {
        if (openTransactions.remove(transaction)) confirmIfDrained()
    }

    /** True when a write or commit may be sent to [target] within a transaction that it runs. */
    internal fun mayCommit(target: Target): Boolean {
        val record = standing.record(id)
        val isOpen = record == null || !record.isChanging || (record.isPlanned && !isConfirmed(record))
        return isOpen && mayAcknowledge(target)
    }

    /** True when the success of a write at [target] may be passed on now. */
    internal fun mayAcknowledge(target: Target): Boolean {
        val record = standing.record(id)
        return target === primary && standing.isPrimaryCertain(id, timers.nowMillis()) &&
            (record == null || !isConfirmed(record))
    }

    /** True when this host counts [target] as replaced for good. */
    internal fun isReplaced(target: Target): Boolean =
        standing.record(id)?.let { it.primary != target.entry.id || isConfirmed(it) } ?: false

    private fun isConfirmed(record: GroupRecord) = record.isChanging && hasConfirmed(record.version)

    /** True once this host sends and acknowledges no write under the takeover of record [version]. */
    public fun hasConfirmed(version: Long): Boolean = confirmedVersion == version

    /** Takes in a change of the group's record. */
    public fun onRecord(record: GroupRecord) {
        log.belief(
            "group", "record_changed", "group", id.value, "version", record.version, "fence", record.fence,
            "primary", record.primary.value, "is_changing", record.isChanging, "holder", record.holder,
        )
        changedAtMillis = timers.nowMillis()
        if (record.isChanging) {
            timers.after(if (record.isPlanned) PLANNED_GRACE_MILLIS else ABANDON_MILLIS) { abandonWrites(record) }
            confirmIfDrained()
            return
        }
        if (record.primary != trailPrimary) trail.clear()
        probedAtMillis = Standing.NEVER
        abandonWrites(record)
        probePosition(timers.nowMillis())
        pump()
    }

    private fun confirmIfDrained() {
        val record = standing.record(id) ?: return
        if (!record.isChanging || isConfirmed(record) || openWrites.isNotEmpty()) return
        val isGraceOver = timers.nowMillis() - changedAtMillis >= PLANNED_GRACE_MILLIS
        if (record.isPlanned && openTransactions.isNotEmpty() && !isGraceOver) return
        confirmedVersion = record.version
        onConfirmed()
    }

    private fun abandonWrites(record: GroupRecord) {
        if (standing.record(id)?.version != record.version) return
        for (write in openWrites.toList()) {
            if (record.isChanging || record.primary != write.target.entry.id) write.abandon()
        }
        confirmIfDrained()
    }

    /** Looks after health, staleness and waiting statements. Called at a short interval. */
    public fun tick() {
        val nowMillis = timers.nowMillis()
        for (target in targetsById.values.toList()) target.tick(controlCustomer)
        dropGone(nowMillis)
        probePosition(nowMillis)
        for (work in waiting.inOrder()) {
            val waitedMillis = nowMillis - work.queuedAtMillis
            val isHopeless = work.needsPrimary && !isPrimaryUsable() && !isPrimaryExpected()
            when {
                work.isOver -> waiting.remove(work)
                waitedMillis > longestWaitMillis(work) -> drop(work, "waited too long")
                isHopeless -> drop(work, "no primary is in reach")
            }
        }
        pump()
    }

    private fun longestWaitMillis(work: Work): Long =
        maxOf(work.route.latencyGoalMillis, (work.route.timeoutMillis * MAX_WAIT_PART).toLong())

    private fun probePosition(nowMillis: Long) {
        if (nowMillis - usedAtMillis > IN_USE_MILLIS || nowMillis - probedAtMillis < PROBE_SPACING_MILLIS) return
        val newestMillis = trail.newest?.askedAtMillis ?: Standing.NEVER
        if (nowMillis - newestMillis < SAMPLE_REFRESH_MILLIS) return
        val target = primary ?: return
        val customer = controlCustomer ?: return
        if (!isRecordSteady(nowMillis) || target.unreachableSinceMillis != null || target.goneAtMillis != null) return
        probedAtMillis = nowMillis
        target.status(customer) { _, _ -> }
    }

    private companion object {
        const val MAX_ATTEMPTS = 8
        const val GONE_KEEP_MILLIS = 10_000L
        const val HOPELESS_PART = 0.5
        const val MAX_WAIT_PART = 0.4
        const val TAKEOVER_HOPE_MILLIS = 900L
        const val CHANGE_HOPE_MILLIS = 1_800L
        const val DIAL_PATIENCE_MILLIS = 60L
        const val BEHIND_MILLIS = 40L
        const val BEHIND_LONG_MILLIS = 250L

        /** A replica that is far behind is asked again after this part of its lag, as a divisor. */
        const val LAG_PART = 6
        const val OTHER_ZONE_MILLIS = 2.0
        const val PRIMARY_SPARE_MILLIS = 12.0
        const val STALE_MARGIN_MILLIS = 60L
        const val IN_USE_MILLIS = 3_000L
        const val PROBE_SPACING_MILLIS = 250L
        const val SAMPLE_REFRESH_MILLIS = 700L
        const val ABANDON_MILLIS = 150L
        const val PLANNED_GRACE_MILLIS = 350L
    }
}
