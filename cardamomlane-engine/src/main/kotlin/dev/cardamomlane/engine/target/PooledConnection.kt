package dev.cardamomlane.engine.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.session.SessionState
import dev.cardamomlane.engine.statement.PreparedPlan
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.statement.TransactionState

/**
 * One connection to a target, with the session values and prepared statements that are set on it.
 *
 * A connection serves one customer for its whole life. While a statement has no answer or a transaction is open, its
 * owner keeps it; the owner ends that with [release], [releaseOrClose] or [close].
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
    private val order = AnswerOrder()
    private val current = ConnectionState()
    internal val dialedAtMillis: Long = timers.nowMillis()
    internal var isOpen = false
        private set
    internal var isClosed = false
        private set

    /** True while a statement or transaction owns the connection. */
    internal val isTaken: Boolean get() = takenAtMillis != null

    /** Since when a statement or transaction has owned the connection, or null while none does. */
    internal var takenAtMillis: Long? = null
        private set
    internal var lastUsedMillis = dialedAtMillis
        private set

    /** True once a statement on the connection had an error. */
    internal val hasError: Boolean get() = order.hasError

    /** True once a status query or a demotion was sent on the connection. */
    internal var hasReported = false
        private set

    /** True while the target may have refused to begin the newest transaction. */
    internal val isBeginDoubtful: Boolean get() = order.isBeginDoubtful

    /** True when the connection has had so many answers that it is to be closed once it is free. */
    internal val isWornOut: Boolean get() = order.isFull

    /** The error that closed the connection, since it may have been a second answer; null for every other end. */
    internal var ambiguousError: StatementError? = null
        private set

    /** When the oldest statement without an answer was sent, or null when all are answered. */
    internal val oldestSentMillis: Long? get() = outstanding.firstOrNull()?.sentAtMillis

    internal fun start(dialer: TargetDialer) {
        link = dialer.dial(target.entry, customerName, this)
    }

    /** Makes one statement or transaction the owner of the connection, until [giveBack]. */
    internal fun take() {
        takenAtMillis = timers.nowMillis()
    }

    internal fun giveBack() {
        takenAtMillis = null
    }

    internal fun meets(need: ConnectionNeed): Boolean = when (need) {
        ConnectionNeed.ANY -> true
        ConnectionNeed.NO_ERROR -> !order.hasError
        ConnectionNeed.NO_TRANSACTION -> !order.hasError && !order.hasBegun
    }

    /** The number of statements that bring the connection to [state], or much more when it must be reset first. */
    internal fun setupCost(state: SessionState): Int = current.setupCost(state)

    /** The name of [plan], which the last [prepareFor] has prepared. */
    internal fun nameOf(plan: PreparedPlan): String = current.nameOf(plan)

    /**
     * Sets the session values and prepares the plans of [state]; calls [done] with true when all of that succeeded.
     * Otherwise the connection is closed, since it is not known what is set on it.
     */
    public fun prepareFor(state: SessionState, done: (Boolean) -> Unit) {
        val steps = current.stepsTo(state)
        if (steps.isEmpty()) return done(true)
        var remaining = steps.size
        var isPrepared = true
        for (step in steps) {
            execute(step) { answer ->
                if (answer?.isSuccess == true) current.onSuccess(step) else isPrepared = false
                remaining--
                if (remaining == 0) {
                    if (!isPrepared) close()
                    done(isPrepared)
                }
            }
        }
    }

    /** Sends [statement]; calls [done] with the whole answer, or with null when the connection ends before it. */
    public fun execute(statement: TargetStatement, done: (TargetAnswer?) -> Unit) {
        if (isClosed) {
            done(null)
            return
        }
        lastUsedMillis = timers.nowMillis()
        if (statement is TargetStatement.Status || statement is TargetStatement.Demote) hasReported = true
        outstanding.addLast(Outstanding(statement, lastUsedMillis, done))
        link.send(statement)
    }

    /** Closes the connection; statements without an answer get null instead. */
    public fun close() {
        if (isClosed) return
        if (::link.isInitialized) link.close()
        onClosed()
    }

    /**
     * Returns the connection to its target's pool. One with an open transaction must be closed instead.
     *
     * @throws IllegalStateException if a statement has no answer yet
     */
    public fun release() {
        check(outstanding.isEmpty()) { "a connection with an outstanding statement can't be released" }
        target.released(this)
    }

    /** Releases the connection after [answer], or closes it when a transaction is still open or there was no answer. */
    public fun releaseOrClose(answer: TargetAnswer?) {
        if (answer?.state == TransactionState.IDLE) release() else close()
    }

    /**
     * Rolls back and releases the connection, or closes it, which rolls back too, when there is no certain answer within
     * [limitMillis].
     */
    internal fun rollback(limitMillis: Long) {
        val limit = timers.after(limitMillis) { close() }
        execute(TargetStatement.Rollback) { answer ->
            limit.cancel()
            releaseOrClose(answer)
        }
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
        when (order.judge(outstanding.firstOrNull()?.statement, answer)) {
            AnswerVerdict.FIRST -> {
                val first = outstanding.removeFirst()
                target.answered(first.sentAtMillis, answer)
                first.done(answer)
            }
            AnswerVerdict.DOUBTFUL -> onDoubtful(outstanding.removeFirst(), answer)
            AnswerVerdict.REPETITION -> target.answeredUncertainly(UncertainAnswer.REPETITION)
            AnswerVerdict.AMBIGUOUS -> {
                target.answeredUncertainly(UncertainAnswer.AMBIGUOUS)
                ambiguousError = answer.error
                close()
            }
            AnswerVerdict.UNEXPECTED -> {
                target.answeredUncertainly(UncertainAnswer.UNEXPECTED)
                close()
            }
        }
    }

    private fun onDoubtful(first: Outstanding, answer: TargetAnswer) {
        if (first.statement is TargetStatement.Begin) target.answeredUncertainly(UncertainAnswer.DOUBTFUL_BEGIN)
        // The transaction may still be open, so that the next one would begin inside it.
        first.done(answer.takeUnless { first.statement is TargetStatement.Rollback })
    }

    override fun onClosed() {
        if (isClosed) return
        isClosed = true
        target.closed(this, wasOpen = isOpen)
        val unanswered = outstanding.toList()
        outstanding.clear()
        for (statement in unanswered) statement.done(null)
    }

    private class Outstanding(val statement: TargetStatement, val sentAtMillis: Long, val done: (TargetAnswer?) -> Unit)
}
