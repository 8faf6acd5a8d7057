package dev.cardamomlane.engine.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.session.SessionState
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.statement.TransactionState

/**
 * One connection to a target, with the session values and prepared statements that it holds.
 *
 * The connection belongs to one customer for its whole life. While a statement has no answer, or a transaction is
 * open, nobody else gets it.
 *
 * Not safe for use by several threads.
 */
public class PooledConnection internal constructor(
    private val target: Target,
    public val customerName: String,
    private val timers: TimerService,
) : TargetLinkListener {
    private lateinit var link: TargetLink
    private val outstanding = ArrayDeque<Outstanding>()
    private val values = HashMap<String, String>()
    private val prepared = HashSet<String>()
    internal val dialedAtMillis: Long = timers.nowMillis()
    internal var isOpen = false
        private set
    internal var isClosed = false
        private set

    /** True while a caller's work owns the connection. */
    internal var isTaken = false
    internal var lastUsedMillis = dialedAtMillis
        private set

    /** When the oldest statement without an answer was sent, or null when all are answered. */
    internal val oldestSentMillis: Long? get() = outstanding.firstOrNull()?.sentAtMillis

    internal fun start(dialer: TargetDialer) {
        link = dialer.dial(target.entry, customerName, this)
    }

    /** How many statements bring the connection to [state]; fewer is better. */
    internal fun distanceTo(state: SessionState): Int {
        val missing = state.values.count { (name, value) -> values[name] != value }
        val hasForeign = values.keys.any { it !in state.values }
        return if (hasForeign) RESET_DISTANCE + state.values.size else missing
    }

    /** Brings the session values to those of [state]; [done] hears false when that failed. */
    public fun adopt(state: SessionState, done: (Boolean) -> Unit) {
        val steps = ArrayList<TargetStatement>()
        if (values.keys.any { it !in state.values }) {
            steps += TargetStatement.Reset
            values.clear()
            prepared.clear()
        }
        for ((name, value) in state.values) {
            if (values[name] != value) steps += TargetStatement.SetValue(name, value)
        }
        values.putAll(state.values)
        for (plan in state.needed) {
            if (prepared.add(plan.targetName)) steps += TargetStatement.Prepare(plan)
        }
        executeAll(steps, done)
    }

    /** Sends [statement]; [done] hears the whole answer, or null when the connection ended first. */
    public fun execute(statement: TargetStatement, done: (TargetAnswer?) -> Unit) {
        if (isClosed) {
            done(null)
            return
        }
        lastUsedMillis = timers.nowMillis()
        outstanding.addLast(Outstanding(lastUsedMillis, done))
        link.send(statement)
    }

    /** Ends the connection; outstanding statements hear null. */
    public fun close() {
        if (isClosed) return
        if (::link.isInitialized) link.close()
        onClosed()
    }

    /** Gives the connection back; one with an open transaction or an unread answer must be closed instead. */
    public fun release() {
        check(outstanding.isEmpty()) { "a connection with an unread answer can't be handed on" }
        target.released(this)
    }

    /** Gives the connection back after [answer], or closes it when that left a transaction open or never came. */
    public fun giveBack(answer: TargetAnswer?) {
        if (answer?.state == TransactionState.IDLE) release() else close()
    }

    override fun onOpened(position: LogPosition?) {
        isOpen = true
        target.opened(this, position)
    }

    override fun onRefused(error: StatementError) {
        target.refused(error)
        close()
    }

    override fun onAnswer(answer: TargetAnswer) {
        val first = outstanding.removeFirstOrNull() ?: return close()
        target.heard(first.sentAtMillis, answer)
        first.done(answer)
    }

    override fun onClosed() {
        if (isClosed) return
        isClosed = true
        target.closed(this, wasOpen = isOpen)
        val lost = outstanding.toList()
        outstanding.clear()
        for (statement in lost) statement.done(null)
    }

    private fun executeAll(steps: List<TargetStatement>, done: (Boolean) -> Unit) {
        if (steps.isEmpty()) return done(true)
        var left = steps.size
        var isGood = true
        for (step in steps) {
            execute(step) { answer ->
                isGood = isGood && answer?.isSuccess == true
                left--
                if (left == 0) done(isGood)
            }
        }
    }

    private class Outstanding(val sentAtMillis: Long, val done: (TargetAnswer?) -> Unit)

    private companion object {
        const val RESET_DISTANCE = 100
    }
}
