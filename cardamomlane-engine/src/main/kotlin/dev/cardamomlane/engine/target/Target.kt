package dev.cardamomlane.engine.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.capacity.FixedCapacity
import dev.cardamomlane.core.capacity.LearnedCapacity
import dev.cardamomlane.core.capacity.TargetCapacity
import dev.cardamomlane.core.capacity.WorkKind
import dev.cardamomlane.engine.fleet.GroupRecords
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.session.SessionState
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.zone.ZoneGate

/**
 * One target as this host sees it: a pool of connections to it, whether it can be reached, its mean service time and
 * the log position that it has applied.
 *
 * Not safe for use by several threads.
 */
public class Target(
    entry: TargetEntry,
    private val timers: TimerService,
    private val dialer: TargetDialer,
    private val log: DecisionLog,
    private val listener: TargetListener,
    internal val capacity: TargetCapacity = FixedCapacity(slots = maxOf(1, entry.slotCount)),
) {
    /** The target's entry in the newest list of targets. */
    public var entry: TargetEntry = entry
        internal set(value) {
            if (value.isDraining != field.isDraining) {
                leavingSinceMillis = if (value.isDraining) timers.nowMillis() else null
            }
            field = value
        }

    /** Since when this host knows that the target is about to leave; null if it is not, or was when it was first listed. */
    internal var leavingSinceMillis: Long? = null
        private set

    /** True while the target, which is about to leave, may be sent new statements all the same. */
    internal var servesWhileLeaving: () -> Boolean = { false }

    /** When it was first missing from the list of targets, or null while it is listed. */
    internal var goneAtMillis: Long? = null

    /** The most connections that this host opens to the target, apart from those for control statements and probes. */
    internal var connectionShare = DEFAULT_CONNECTION_SHARE

    private val connections = ArrayList<PooledConnection>()
    internal var runningCount = 0
        private set

    /** The moving average of the time that answers took, in milliseconds. */
    internal val serviceMillis: Double get() = capacity.serviceMillis

    /** The position that the target last reported, and when it did. */
    internal var appliedPosition: LogPosition? = null
        private set
    internal var appliedAtMillis = 0L
        private set

    /** Since when the target is suspected to be unreachable, or null while it is not. */
    public var unreachableSinceMillis: Long? = null
        private set

    /** Since when the target has reported to be a replica, or null when its last report says otherwise or there is none. */
    internal var replicaSinceMillis: Long? = null
        private set

    /** When the target last answered a statement, accepted a connection or refused one. */
    internal var lastAnswerAtMillis = GroupRecords.NEVER
        private set

    /** True when its last connection attempt failed at once, so that it was refused rather than timed out. */
    internal var isRefusingConnections = false
        private set
    private var backOffUntilMillis = 0L
    private var noDialUntilMillis = 0L
    private var probe: PooledConnection? = null

    /** The number of statements that this host may run at the target at once. */
    internal val slotCount: Int get() = capacity.limit

    /** The number of connections that are open or being opened. */
    internal val connectionCount: Int get() = connections.size

    /** Decides by the drains of its zone and by its warm-up whether the target may take work. */
    internal val zoneGate = ZoneGate(timers)
    private var isWakeUpScheduled = false

    /** True when the target is listed, and this host reaches it. */
    internal val isInReach: Boolean get() = goneAtMillis == null && unreachableSinceMillis == null

    /** True when the target is in reach, and neither it nor its zone is draining. */
    internal val isEligible: Boolean get() = isInReach && !entry.isDraining && !zoneGate.isDraining

    /** True when the target gets no more statements, since it is about to leave or has left. */
    private val isLeft: Boolean get() = goneAtMillis != null || (entry.isDraining && !servesWhileLeaving())

    /** True when new statements may be sent to the target. */
    internal fun takesWork(nowMillis: Long): Boolean =
        isInReach && !isLeft && !zoneGate.isDraining && nowMillis >= backOffUntilMillis

    /** True when another statement may start now. */
    internal fun hasSlot(): Boolean = capacity.hasRoom && !isPausedByWarmUp()

    private fun isPausedByWarmUp(): Boolean {
        val waitMillis = zoneGate.waitMillis(timers.nowMillis())
        if (waitMillis > 0 && !isWakeUpScheduled) {
            isWakeUpScheduled = true
            timers.after(waitMillis) {
                isWakeUpScheduled = false
                listener.onCapacity(this)
            }
        }
        return waitMillis > 0
    }

    /**
     * The idle connection of [customerName] that meets [need] and takes the least setup for [state], or null when there
     * is none. While none can be opened, one with an error will do instead.
     */
    internal fun idle(
        customerName: String,
        state: SessionState,
        need: ConnectionNeed = ConnectionNeed.ANY,
    ): PooledConnection? {
        val mayDial = timers.nowMillis() >= noDialUntilMillis
        val least = if (need == ConnectionNeed.NO_ERROR && !mayDial) ConnectionNeed.ANY else need
        return connections
            .filter { it.isOpen && !it.isTaken && it.customerName == customerName && it.meets(least) }
            .minByOrNull { it.setupCost(state) }
    }

    /** The number of connections for [customerName] that are being opened, probes left out. */
    internal fun dialingCount(customerName: String): Int =
        connections.count { !it.isOpen && it.customerName == customerName && it !== probe }

    /**
     * Starts to open a connection for [customerName]. When the share is used up, closes an idle connection first, one
     * with an error if there is one, and else the least recently used one. Returns false when no connection can be
     * opened now.
     */
    internal fun dial(customerName: String): Boolean {
        val nowMillis = timers.nowMillis()
        if (nowMillis < noDialUntilMillis) return false
        if (connections.size >= connectionShare) {
            val spare = leastUseful() ?: return false
            spare.close()
        }
        add(customerName)
        return true
    }

    /** The idle connection to give up first, or null when none is idle. */
    private fun leastUseful(): PooledConnection? = connections
        .filter { it.isOpen && !it.isTaken }
        .minWithOrNull(compareBy<PooledConnection> { !it.hasError }.thenBy { it.lastUsedMillis })

    private fun add(customerName: String): PooledConnection {
        val connection = PooledConnection(this, customerName, timers)
        connections += connection
        connection.start(dialer)
        return connection
    }

    /** Marks [connection] as owned by one statement or transaction. */
    internal fun take(connection: PooledConnection) {
        connection.take()
    }

    /** Since when each connection that a statement or transaction owns has been owned. */
    internal fun takenSinceMillis(): List<Long> = connections.mapNotNull { it.takenAtMillis }

    /** Counts one more running statement of [kind]; [finished] must follow. */
    internal fun started(kind: WorkKind) {
        runningCount++
        capacity.started(kind, timers.nowMillis())
        zoneGate.started(timers.nowMillis())
    }

    /** Counts one running statement less, which ended as [end] says. */
    internal fun finished(kind: WorkKind, end: StatementEnd) {
        runningCount--
        val nowMillis = timers.nowMillis()
        when (end) {
            is StatementEnd.Answered -> capacity.answered(kind, end.tookMillis, end.isSuccess, nowMillis)
            StatementEnd.Refused -> capacity.refused(kind, nowMillis)
            StatementEnd.Lost -> capacity.lost(kind, nowMillis)
            StatementEnd.Unmeasured -> capacity.released(kind, nowMillis)
        }
    }

    /** Counts a failure of the target that ends no statement; without effect unless its capacity is learned. */
    internal fun failed() {
        (capacity as? LearnedCapacity)?.failed(timers.nowMillis())
    }

    /** Sends the target no new statements for [millis]. */
    internal fun backOff(millis: Long) {
        backOffUntilMillis = timers.nowMillis() + millis
    }

    /**
     * Requests the target's status over an idle connection that has had no such query, or over a new one of
     * [customerName], so that a second answer to an earlier query is not taken for the status.
     *
     * Calls [done] once with the status, or with null when there is none in time.
     */
    public fun status(customerName: String, done: (TargetStatus?, sentAtMillis: Long) -> Unit) {
        val sentAtMillis = timers.nowMillis()
        control(customerName, TargetStatement.Status) { answer ->
            val status = answer?.let(dialer::readStatus)
            if (status != null) recordRole(status)
            done(status, sentAtMillis)
        }
    }

    private fun recordRole(status: TargetStatus) {
        replicaSinceMillis = if (status.isPrimary) null else replicaSinceMillis ?: timers.nowMillis()
    }

    /** Forgets that the target reported to be a replica, since it may have become primary. */
    internal fun forgetRole() {
        replicaSinceMillis = null
    }

    /** Makes the target a replica if its term is below [term]. Calls [done] once with whether the target agreed. */
    public fun demote(customerName: String, term: Long, done: (Boolean) -> Unit) {
        control(customerName, TargetStatement.Demote(term)) { answer -> done(answer?.isSuccess == true) }
    }

    private fun control(customerName: String, statement: TargetStatement, done: (TargetAnswer?) -> Unit) {
        val free = connections.firstOrNull { it.isOpen && !it.isTaken && !it.hasReported }
        if (free != null) return controlOn(free, statement, done)
        if (connections.size >= connectionShare + CONTROL_CONNECTIONS) {
            val spare = leastUseful() ?: return done(null)
            spare.close()
        }
        pendingControlStatements.addLast(PendingControlStatement(statement, timers.nowMillis(), done))
        add(customerName)
    }

    private fun controlOn(connection: PooledConnection, statement: TargetStatement, done: (TargetAnswer?) -> Unit) {
        connection.take()
        var isAnswered = false
        val timeout = timers.after(CONTROL_TIMEOUT_MILLIS) {
            if (!isAnswered) connection.close()
        }
        connection.execute(statement) { answer ->
            isAnswered = true
            timeout.cancel()
            if (answer != null) connection.release()
            done(answer)
        }
    }

    /** A statement that waits for a new connection, since none was idle. */
    private class PendingControlStatement(
        val statement: TargetStatement,
        val sinceMillis: Long,
        val done: (TargetAnswer?) -> Unit,
    )

    private val pendingControlStatements = ArrayDeque<PendingControlStatement>()

    internal fun opened(connection: PooledConnection, position: LogPosition?) {
        val waiting = pendingControlStatements.removeFirstOrNull()
        if (waiting != null) take(connection)
        recordContact(connection.dialedAtMillis)
        isRefusingConnections = false
        if (position != null) listener.onPosition(this, connection.dialedAtMillis, position)
        if (connection === probe) probe = null
        if (waiting != null) controlOn(connection, waiting.statement, waiting.done)
        listener.onCapacity(this)
    }

    internal fun refused(error: StatementError) {
        recordContact(timers.nowMillis())
        when (error.code) {
            ErrorCode.TOO_MANY_CONNECTIONS -> noDialUntilMillis = timers.nowMillis() + FULL_DIAL_PAUSE_MILLIS
            else -> noDialUntilMillis = timers.nowMillis() + REFUSED_DIAL_PAUSE_MILLIS
        }
        log.event("target", "connection_refused", "target", entry.id.value, "code", error.code)
    }

    internal fun answered(sentAtMillis: Long, answer: TargetAnswer) {
        recordContact(sentAtMillis)
        if (answer.error?.code == ErrorCode.READ_ONLY) listener.onReadOnly(this)
        val position = answer.position ?: return
        appliedPosition = position
        appliedAtMillis = timers.nowMillis()
        listener.onPosition(this, sentAtMillis, position)
    }

    internal fun answeredUncertainly(kind: UncertainAnswer): Unit = listener.onUncertainAnswer(this, kind)

    private fun recordContact(sentAtMillis: Long) {
        lastAnswerAtMillis = timers.nowMillis()
        val since = unreachableSinceMillis ?: return
        if (sentAtMillis < since - MIN_ANSWER_TIMEOUT_MILLIS) return
        unreachableSinceMillis = null
        log.event("target", "reachable_again", "target", entry.id.value, "after_ms", lastAnswerAtMillis - since)
        listener.onCapacity(this)
    }

    internal fun released(connection: PooledConnection) {
        connection.giveBack()
        if (isLeft || connection.isWornOut) connection.close()
        listener.onCapacity(this)
    }

    internal fun closed(connection: PooledConnection, wasOpen: Boolean) {
        connections.remove(connection)
        if (connection === probe) probe = null
        val nowMillis = timers.nowMillis()
        if (!wasOpen) {
            isRefusingConnections = nowMillis - connection.dialedAtMillis < QUICK_REFUSAL_MILLIS
            failed()
            noDialUntilMillis = maxOf(noDialUntilMillis, nowMillis + REFUSED_DIAL_PAUSE_MILLIS)
            if (nowMillis - lastAnswerAtMillis > QUICK_REFUSAL_MILLIS) suspect("connection could not be opened")
            failPendingControlStatements()
        }
        listener.onCapacity(this)
    }

    private fun failPendingControlStatements() {
        while (true) {
            val waiting = pendingControlStatements.removeFirstOrNull() ?: return
            waiting.done(null)
        }
    }

    /**
     * Suspects the target when its oldest statement or dial has gone without an answer for too long, closes connections
     * that are not needed, and probes a suspected target with a new connection. Called at a short interval.
     */
    internal fun tick(probeCustomer: String?) {
        val nowMillis = timers.nowMillis()
        (capacity as? LearnedCapacity)?.tick(nowMillis)
        val timeoutMillis = maxOf(MIN_ANSWER_TIMEOUT_MILLIS, (serviceMillis * ANSWER_TIMEOUT_FACTOR).toLong())
        val oldest = connections.mapNotNull { it.oldestSentMillis ?: pendingDialMillis(it) }.minOrNull()
        if (oldest != null && nowMillis - oldest > timeoutMillis && lastAnswerAtMillis < oldest) suspect("no answer")
        for (connection in connections.toList()) {
            if (!connection.isOpen && nowMillis - connection.dialedAtMillis > DIAL_TIMEOUT_MILLIS) connection.close()
        }
        closeSurplus(nowMillis)
        if (zoneGate.isPastGrace(nowMillis)) abortIdleTransactions()
        if (unreachableSinceMillis != null && goneAtMillis == null) startProbe(probeCustomer, nowMillis)
    }

    private fun startProbe(customerName: String?, nowMillis: Long) {
        if (probe == null && customerName != null && nowMillis >= noDialUntilMillis) probe = add(customerName)
    }

    private fun pendingDialMillis(connection: PooledConnection): Long? =
        if (connection.isOpen) null else connection.dialedAtMillis

    private fun closeSurplus(nowMillis: Long) {
        val takesNoWork = isLeft
        for (connection in connections.toList()) {
            if (!connection.isOpen || connection.isTaken) continue
            val isOld = nowMillis - connection.lastUsedMillis > IDLE_CLOSE_MILLIS
            val isSurplus = connections.size > connectionShare
            if (takesNoWork || isOld || isSurplus) connection.close()
        }
    }

    /** Closes connections between two statements of a transaction, which makes the target roll it back. */
    private fun abortIdleTransactions() {
        val idle = connections.filter { it.isOpen && it.isTaken && it.oldestSentMillis == null }
        if (idle.isEmpty()) return
        log.event("zone", "transactions_aborted", "target", entry.id.value, "count", idle.size)
        idle.forEach { it.close() }
    }

    private fun suspect(reason: String) {
        if (unreachableSinceMillis != null) return
        unreachableSinceMillis = timers.nowMillis()
        log.event("target", "unreachable", "target", entry.id.value, "group", entry.group.value, "reason", reason)
        connections.filter { it.isOpen && !it.isTaken }.forEach { it.close() }
        listener.onUnreachable(this)
    }

    /** Closes every connection. Statements without an answer get null instead. */
    internal fun closeAll() {
        connections.toList().forEach { it.close() }
    }

    private companion object {
        const val DEFAULT_CONNECTION_SHARE = 4

        /** How many connections beyond the share may be opened for control statements. */
        const val CONTROL_CONNECTIONS = 1

        /** A target is suspected after this time, or this multiple of its mean service time, without an answer. */
        const val MIN_ANSWER_TIMEOUT_MILLIS = 350L
        const val ANSWER_TIMEOUT_FACTOR = 6.0

        const val DIAL_TIMEOUT_MILLIS = 600L
        const val CONTROL_TIMEOUT_MILLIS = 500L
        const val IDLE_CLOSE_MILLIS = 4_000L

        /** How long no connection is opened after the target was full, or refused or failed to accept one. */
        const val FULL_DIAL_PAUSE_MILLIS = 60L
        const val REFUSED_DIAL_PAUSE_MILLIS = 150L

        /** A dial that fails within this time was refused; a target that answered within it is not suspected. */
        const val QUICK_REFUSAL_MILLIS = 100L
    }
}
