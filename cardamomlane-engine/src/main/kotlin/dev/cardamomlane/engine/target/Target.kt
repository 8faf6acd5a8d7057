package dev.cardamomlane.engine.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.queue.AdaptiveLimit
import dev.cardamomlane.engine.fleet.Standing
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.session.SessionState
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.statement.TargetStatement

/**
 * One target as this host sees it: its connections, its health, how fast it answers and how far it has applied.
 *
 * Not safe for use by several threads.
 */
public class Target(
    entry: TargetEntry,
    private val timers: TimerService,
    private val dialer: TargetDialer,
    private val log: DecisionLog,
    private val events: TargetEvents,
) {
    /** What the target last said of itself. */
    public var entry: TargetEntry = entry
        internal set

    /** When its entry vanished from the list of targets, or null while it is listed. */
    internal var goneAtMillis: Long? = null

    /** The most connections that this host opens. */
    internal var connectionShare = DEFAULT_SHARE

    private val connections = ArrayList<PooledConnection>()
    private val slotLimit = AdaptiveLimit(slots = maxOf(1, entry.slotCount))
    internal var runningCount = 0
        private set

    /** Mean time of recent answers. */
    internal var serviceMillis = FIRST_SERVICE_MILLIS
        private set

    /** The highest position it is known to have applied, and when it said so. */
    internal var appliedPosition: LogPosition? = null
        private set
    internal var appliedAtMillis = 0L
        private set

    /** Since when the target does not answer, or null while it does. */
    public var unreachableSinceMillis: Long? = null
        private set

    /** When it last answered anything. */
    internal var lastAnswerAtMillis = Standing.NEVER
        private set

    /** True when its last connection attempt was refused outright. */
    internal var isRefusingConnections = false
        private set
    private var backOffUntilMillis = 0L
    private var noDialUntilMillis = 0L
    private var probe: PooledConnection? = null

    /** The statements that may run at once. */
    internal val slotCount: Int get() = slotLimit.limit

    /** Connections that are open or being opened. */
    internal val connectionCount: Int get() = connections.size

    /** True when new work may go to the target. */
    internal fun takesWork(nowMillis: Long): Boolean =
        !entry.isDraining && goneAtMillis == null && unreachableSinceMillis == null && nowMillis >= backOffUntilMillis

    /** True when a statement could start now. */
    internal fun hasSlot(): Boolean = runningCount < slotLimit.limit

    /** The best idle connection for [customerName] with [state], or null. */
    internal fun idle(customerName: String, state: SessionState): PooledConnection? = connections
        .filter { it.isOpen && !it.isTaken && it.customerName == customerName }
        .minByOrNull { it.distanceTo(state) }

    /** True when a dial for [customerName] is under way that nobody else waits for. */
    internal fun dialingCount(customerName: String): Int =
        connections.count { !it.isOpen && it.customerName == customerName && it !== probe }

    /** Opens a connection for [customerName], closing an idle one when the share is used up. Returns false if full. */
    internal fun dial(customerName: String): Boolean {
        val nowMillis = timers.nowMillis()
        if (nowMillis < noDialUntilMillis) return false
        if (connections.size >= connectionShare) {
            val victim = connections.filter { it.isOpen && !it.isTaken }.minByOrNull { it.lastUsedMillis }
                ?: return false
            victim.close()
        }
        add(customerName)
        return true
    }

    private fun add(customerName: String): PooledConnection {
        val connection = PooledConnection(this, customerName, timers)
        connections += connection
        connection.start(dialer)
        return connection
    }

    /** Marks [connection] as owned by one statement or transaction. */
    internal fun take(connection: PooledConnection) {
        connection.isTaken = true
    }

    /** Counts one more running statement; [finished] must follow. */
    internal fun started() {
        runningCount++
    }

    /** Counts one statement less. [tookMillis] is null when it brought no answer. */
    internal fun finished(tookMillis: Double?) {
        runningCount--
        if (tookMillis == null) return
        serviceMillis += (tookMillis - serviceMillis) * SERVICE_WEIGHT
        slotLimit.observe(tookMillis, runningCount + 1)
    }

    /** Holds new work back for [millis]. */
    internal fun backOff(millis: Long) {
        backOffUntilMillis = timers.nowMillis() + millis
    }

    /** Asks for the target's status over any connection; [done] hears null when it can't be had. */
    public fun status(customerName: String, done: (TargetStatus?, askedAtMillis: Long) -> Unit) {
        val askedAtMillis = timers.nowMillis()
        ask(customerName, TargetStatement.Status) { answer ->
            done(answer?.let(dialer::readStatus), askedAtMillis)
        }
    }

    /** Makes the target a replica if its term is below [term]. */
    public fun demote(customerName: String, term: Long, done: (Boolean) -> Unit) {
        ask(customerName, TargetStatement.Demote(term)) { answer -> done(answer?.isSuccess == true) }
    }

    private fun ask(customerName: String, statement: TargetStatement, done: (TargetAnswer?) -> Unit) {
        val free = connections.firstOrNull { it.isOpen && !it.isTaken }
        if (free != null) return askOn(free, statement, done)
        if (connections.size >= connectionShare + CONTROL_CONNECTIONS) return done(null)
        waitingAsks.addLast(WaitingAsk(statement, timers.nowMillis(), done))
        add(customerName)
    }

    private fun askOn(connection: PooledConnection, statement: TargetStatement, done: (TargetAnswer?) -> Unit) {
        connection.isTaken = true
        var isOver = false
        val limit = timers.after(CONTROL_TIMEOUT_MILLIS) {
            if (!isOver) connection.close()
        }
        connection.execute(statement) { answer ->
            isOver = true
            limit.cancel()
            if (answer != null) connection.release()
            done(answer)
        }
    }

    private class WaitingAsk(val statement: TargetStatement, val sinceMillis: Long, val done: (TargetAnswer?) -> Unit)

    private val waitingAsks = ArrayDeque<WaitingAsk>()

    internal fun opened(connection: PooledConnection, position: LogPosition?) {
        hear(connection.dialedAtMillis)
        isRefusingConnections = false
        if (position != null) events.onPosition(this, connection.dialedAtMillis, position)
        if (connection === probe) probe = null
        val waiting = waitingAsks.removeFirstOrNull()
        if (waiting != null) askOn(connection, waiting.statement, waiting.done)
        events.onCapacity(this)
    }

    internal fun refused(error: StatementError) {
        hear(timers.nowMillis())
        when (error.code) {
            ErrorCode.TOO_MANY_CONNECTIONS -> noDialUntilMillis = timers.nowMillis() + FULL_PAUSE_MILLIS
            else -> noDialUntilMillis = timers.nowMillis() + REFUSED_PAUSE_MILLIS
        }
        log.belief("target", "connection_refused", "target", entry.id.value, "code", error.code)
    }

    internal fun heard(sentAtMillis: Long, answer: TargetAnswer) {
        hear(sentAtMillis)
        val position = answer.position ?: return
        appliedPosition = position
        appliedAtMillis = timers.nowMillis()
        events.onPosition(this, sentAtMillis, position)
    }

    private fun hear(sentAtMillis: Long) {
        lastAnswerAtMillis = timers.nowMillis()
        val since = unreachableSinceMillis ?: return
        if (sentAtMillis < since - SILENCE_MILLIS) return
        unreachableSinceMillis = null
        log.belief("target", "reachable_again", "target", entry.id.value, "after_ms", lastAnswerAtMillis - since)
        events.onCapacity(this)
    }

    internal fun released(connection: PooledConnection) {
        connection.isTaken = false
        if (entry.isDraining || goneAtMillis != null) connection.close()
        events.onCapacity(this)
    }

    internal fun closed(connection: PooledConnection, wasOpen: Boolean) {
        connections.remove(connection)
        if (connection === probe) probe = null
        val nowMillis = timers.nowMillis()
        if (!wasOpen) {
            isRefusingConnections = nowMillis - connection.dialedAtMillis < REFUSAL_MILLIS
            noDialUntilMillis = maxOf(noDialUntilMillis, nowMillis + REFUSED_PAUSE_MILLIS)
            if (nowMillis - lastAnswerAtMillis > REFUSAL_MILLIS) suspect("connection could not be opened")
            failWaitingAsks()
        }
        events.onCapacity(this)
    }

    private fun failWaitingAsks() {
        while (true) {
            val waiting = waitingAsks.removeFirstOrNull() ?: return
            waiting.done(null)
        }
    }

    /** Looks for silence, and probes a target that is silent. Called at a short interval. */
    internal fun tick(probeCustomer: String?) {
        val nowMillis = timers.nowMillis()
        val patienceMillis = maxOf(SILENCE_MILLIS, (serviceMillis * SILENCE_FACTOR).toLong())
        val oldest = connections.mapNotNull { it.oldestSentMillis ?: dialStart(it) }.minOrNull()
        if (oldest != null && nowMillis - oldest > patienceMillis && lastAnswerAtMillis < oldest) suspect("no answer")
        for (connection in connections.toList()) {
            if (!connection.isOpen && nowMillis - connection.dialedAtMillis > DIAL_TIMEOUT_MILLIS) connection.close()
        }
        closeIdle(nowMillis)
        if (unreachableSinceMillis != null && goneAtMillis == null) startProbe(probeCustomer, nowMillis)
    }

    private fun startProbe(customerName: String?, nowMillis: Long) {
        if (probe == null && customerName != null && nowMillis >= noDialUntilMillis) probe = add(customerName)
    }

    private fun dialStart(connection: PooledConnection): Long? =
        if (connection.isOpen) null else connection.dialedAtMillis

    private fun closeIdle(nowMillis: Long) {
        val isLeaving = entry.isDraining || goneAtMillis != null
        for (connection in connections.toList()) {
            if (!connection.isOpen || connection.isTaken) continue
            val isOld = nowMillis - connection.lastUsedMillis > IDLE_CLOSE_MILLIS
            val isSurplus = connections.size > connectionShare
            if (isLeaving || isOld || isSurplus) connection.close()
        }
    }

    private fun suspect(reason: String) {
        if (unreachableSinceMillis != null) return
        unreachableSinceMillis = timers.nowMillis()
        log.belief("target", "unreachable", "target", entry.id.value, "group", entry.group.value, "reason", reason)
        connections.filter { it.isOpen && !it.isTaken }.forEach { it.close() }
        events.onUnreachable(this)
    }

    /** Closes every connection, as when the target is gone for good. */
    internal fun closeAll() {
        connections.toList().forEach { it.close() }
    }

    private companion object {
        const val DEFAULT_SHARE = 4
        const val CONTROL_CONNECTIONS = 1
        const val FIRST_SERVICE_MILLIS = 25.0
        const val SERVICE_WEIGHT = 0.1
        const val SILENCE_MILLIS = 350L
        const val SILENCE_FACTOR = 6.0
        const val DIAL_TIMEOUT_MILLIS = 600L
        const val CONTROL_TIMEOUT_MILLIS = 500L
        const val IDLE_CLOSE_MILLIS = 4_000L
        const val FULL_PAUSE_MILLIS = 60L
        const val REFUSED_PAUSE_MILLIS = 150L
        const val REFUSAL_MILLIS = 100L
    }
}
