package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.standin.lane.wire.PlatformWords

/**
 * One target of a [TargetGroup], without its sockets: its log, its role, its slots and its sessions.
 *
 * A target that has crashed keeps its log. Not safe for use by several threads.
 */
internal class LaneTarget(
    val name: String,
    val availabilityZone: String,
    val group: TargetGroup,
    isFirstPrimary: Boolean,
) {
    private val settings = group.settings
    private val timers = group.timers
    private val sessions = LinkedHashSet<TargetSession>()
    private var heartbeats: TimerSubscription? = null
    private var startCount = 0
    private var sequence = 0L
    private var startedAtUnixMillis = 0L
    private var busyUntilMillis = Long.MIN_VALUE
    private var answersToLose = 0
    private var digestCount = 0L

    val log = TargetLog()

    var isPrimary = isFirstPrimary
        private set
    var term = 1L
        private set

    /** While it is above [term], the target receives nothing. 0 for none. */
    var heldTerm = 0L
        private set
    var isRunning = false
        private set
    var isDraining = false
        private set
    var slots = SlotQueue(settings.slotCount, settings.maxWaiting, timers)
        private set

    /** Where callers reach the target, as `host:port`. Must be set before [start]. */
    var address = ""

    /** How long a read, write or commit occupies a slot. */
    var statementMillis = settings.statementMillis

    /** The share of the answers to reads, writes and commits that are lost while their connections stay open. */
    var droppedShare = 0.0

    /** The most commits that were applied; a replica that falls further behind takes none of them back. */
    private var mostApplied = 0

    /** From a commit to the moment when this target, as a replica, has applied it. */
    var lagMillis = settings.lagMillis
        set(value) {
            mostApplied = appliedCount
            field = value
        }

    /** False while this target, as a replica, receives nothing. */
    var isReceiving = true
        set(value) {
            field = value
            if (value) group.primary()?.takeIf(::follows)?.let(::receive)
        }

    val isNewestPrimary: Boolean get() = isPrimary && term == group.newestTerm
    val connectionCount: Int get() = sessions.size

    /** Whether a rollback of its log keeps the target busy. */
    val isRollingBack: Boolean get() = timers.nowMillis() < busyUntilMillis

    /** How many commits of the log can be read. */
    val appliedCount: Int
        get() {
            val count = if (isPrimary) log.size else log.countUntil(timers.nowMillis() - lagMillis)
            mostApplied = maxOf(count, mostApplied)
            return mostApplied
        }

    /** The newest commit that can be read, or null when there is none. */
    val lastApplied: Commit? get() = log.commitAt(appliedCount)

    /**
     * The position up to which the log can be read. It is of the target's own term once all commits of earlier terms are
     * applied.
     */
    val appliedPosition: LogPosition
        get() {
            val count = appliedCount
            val isOfOwnTerm = count >= group.firstCountOf(term)
            return LogPosition(if (isOfOwnTerm) term else log.commitAt(count)?.term ?: FIRST_TERM, count.toLong())
        }

    /** The position up to which the log has been received. */
    val receivedPosition: LogPosition get() = LogPosition(term, log.size.toLong())

    /** Starts with the log that it had, as a replica if another target was promoted meanwhile, and registers itself. */
    fun start() {
        check(!isRunning) { "target $name runs already" }
        isRunning = true
        isDraining = false
        heldTerm = 0
        sequence = 0
        startCount++
        startedAtUnixMillis = System.currentTimeMillis()
        slots = SlotQueue(settings.slotCount, settings.maxWaiting, timers)
        if (!isNewestPrimary) {
            isPrimary = false
            group.primary()?.let(::follow)
        }
        report()
        heartbeats = timers.every(settings.heartbeatMillis, ::report)
        group.listener.onEvent("target $name starts")
    }

    /** Ends at once. Its entry is removed after three heartbeats without a restart. */
    fun crash() {
        if (!isRunning) return
        isRunning = false
        heartbeats?.cancel()
        sessions.toList().forEach(TargetSession::close)
        group.listener.onEvent("target $name crashes")
        val crashed = startCount
        timers.after(ENTRY_HEARTBEATS * settings.heartbeatMillis) {
            if (!isRunning && startCount == crashed) group.registry.remove(name)
        }
    }

    /** Reports that it will leave. It goes on serving until it is ended. */
    fun drain() {
        isDraining = true
        group.listener.onEvent("target $name drains")
        report()
    }

    /** Ends after a drain: its entry is removed at once. */
    fun leave() {
        crash()
        group.registry.remove(name)
    }

    /** Closes the connection in place of the answer to the next [count] reads, writes and commits, which run. */
    fun loseAnswers(count: Int) {
        answersToLose = count
    }

    /** Returns whether the present answer must be left out, see [droppedShare]. */
    fun isAnswerDropped(): Boolean = group.isNext(droppedShare)

    /** Returns whether the present answer must be lost, and counts it. */
    fun consumeLostAnswer(): Boolean = (answersToLose > 0).also { if (it) answersToLose-- }

    /** Adds a session. Returns false if there are too many. */
    fun admit(session: TargetSession): Boolean {
        if (!isRunning || sessions.size >= settings.maxConnections) return false
        return sessions.add(session)
    }

    fun remove(session: TargetSession) {
        sessions -= session
    }

    /** Whether this is a running replica that receives the log of [primary]. */
    fun follows(primary: LaneTarget): Boolean =
        isRunning && isReceiving && !isPrimary && term == primary.term && heldTerm <= term

    /** Receives the log of [primary] as it stands now. */
    fun receive(primary: LaneTarget) {
        copyLogOf(primary)
    }

    /** Leads [term] with the log that it has. */
    fun lead(term: Long) {
        this.term = term
        isPrimary = true
        heldTerm = 0
        report()
    }

    /**
     * Receives the log of [primary] from now on, or once it receives anything again. What this target has beyond it is
     * rolled back at once.
     */
    fun follow(primary: LaneTarget) {
        term = primary.term
        heldTerm = 0
        val lost = if (isReceiving) copyLogOf(primary) else dropWhatDiffersFrom(primary)
        lost.forEach { group.listener.onRolledBack(name, it) }
        if (lost.isNotEmpty()) busyUntilMillis = timers.nowMillis() + settings.rollbackMillis
    }

    /** Returns the commits that were rolled back. */
    private fun copyLogOf(primary: LaneTarget): List<Commit> =
        dropWhatDiffersFrom(primary).also { log.copyFrom(primary.log) }

    /** Returns the commits that were rolled back. */
    private fun dropWhatDiffersFrom(primary: LaneTarget): List<Commit> {
        val lost = log.dropWhatDiffersFrom(primary.log)
        lost.firstOrNull()?.let { mostApplied = minOf(mostApplied, it.number - 1) }
        return lost
    }

    /** Becomes a replica, of [primary] if there is one. */
    fun stepDown(primary: LaneTarget?) {
        isPrimary = false
        group.listener.onEvent("target $name becomes a replica")
        primary?.let(::follow)
        report()
    }

    /** Receives nothing more until [resume], a promotion or a restart, if [term] is above the newest one. */
    fun pause(term: Long) {
        if (!isPrimary && term > this.term) heldTerm = term
    }

    fun resume() {
        heldTerm = 0
        group.primary()?.takeIf { follows(it) }?.let(::receive)
    }

    /**
     * Appends a commit and sends it to the replicas. Returns false, without a commit, if this is no primary.
     *
     * @param onAcknowledged called when the commit may be acknowledged
     */
    fun commit(statementId: String, values: Map<String, String>, onAcknowledged: () -> Unit): Boolean {
        if (!isRunning || !isPrimary) return false
        val commit = Commit(term, log.size + 1, statementId, values, timers.nowMillis())
        log.append(commit)
        group.listener.onCommitted(name, commit, isLate = term < group.newestTerm)
        group.replicate(this, onAcknowledged)
        return true
    }

    fun nextDigest(): String = "$name.${++digestCount}"

    private fun report() {
        if (!isRunning) return
        val entry = TargetEntry(
            group = settings.name,
            address = address,
            availabilityZone = availabilityZone,
            slotCount = settings.slotCount,
            state = if (isDraining) PlatformWords.DRAINING else PlatformWords.READY,
            role = if (isPrimary) PlatformWords.PRIMARY else PlatformWords.REPLICA,
            sequence = ++sequence,
            startedAtUnixMillis = startedAtUnixMillis,
        )
        group.registry.report(name, entry)
    }

    private companion object {
        const val FIRST_TERM = 1L

        /** An entry is removed after this many heartbeats have been missed. */
        const val ENTRY_HEARTBEATS = 3
    }
}
