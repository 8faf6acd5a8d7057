package dev.cardamomlane.engine.session

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.TransactionState

/**
 * The transaction of a session, from its begin until the caller ends it.
 *
 * It can fail between two statements, of which the caller learns by the answer to its next one. A failed transaction has
 * been rolled back and only waits for the caller's commit or rollback.
 *
 * Not safe for use by several threads.
 */
internal class SessionTransaction(private val execution: OpenTransaction, private val timers: TimerService) :
    Operation by execution {

    val state: TransactionState get() = if (failure == null) TransactionState.OPEN else TransactionState.FAILED

    private var failure: String? = null
    private var isCallerTold = false
    private var isRunning = false
    private var isCommitting = false
    private var abortReason: String? = null
    private var idleTimer: TimerSubscription? = null

    /** The answer to a statement other than the commit and the rollback when the transaction has failed, or else null. */
    fun refusal(): Outcome? {
        val reason = failure ?: return null
        if (isCallerTold) return Outcome.error(ErrorCode.MALFORMED, "the transaction failed: $reason")
        isCallerTold = true
        return Outcome.error(ErrorCode.ABORTED, reason)
    }

    /** Runs [statement] and calls [done] once with its outcome. The transaction must not have failed, nor be running. */
    fun run(statement: ResolvedStatement, state: SessionState, done: (Outcome) -> Unit) {
        start()
        execution.run(statement, state) { outcome -> done(afterStatement(outcome)) }
    }

    /** Commits and calls [done] once with the outcome, after which the transaction is over. */
    fun commit(id: String, state: SessionState, done: (Outcome) -> Unit) {
        if (failure != null) {
            return done(Outcome.error(ErrorCode.ABORTED, "the transaction failed and was rolled back: $failure"))
        }
        start()
        isCommitting = true
        execution.commit(id, state, done)
    }

    /** Rolls back, after which the transaction is over. */
    fun rollback() {
        idleTimer?.cancel()
        if (failure == null) execution.rollback()
    }

    /**
     * Rolls the transaction back: at once between two statements, or else as soon as the statement that a target runs has
     * its outcome, but not later than [withinMillis] if that is given. Then the caller gets [ErrorCode.ABORTED] instead.
     * A commit that was sent gets its true answer.
     */
    fun abort(reason: String, withinMillis: Long? = null) {
        if (failure != null) return
        abortReason = reason
        if (!isRunning) return fail(reason)
        execution.endUnsent(reason)
        if (withinMillis != null) timers.after(withinMillis) { if (!isCommitting) giveUp(reason) }
    }

    /** Ends a statement or commit that is under way without waiting for its answer. */
    fun giveUp(reason: String) {
        if (isRunning) execution.giveUp(reason)
    }

    /** Rolls back when no statement comes for [idleMillis]. To be called after each answer. */
    fun watchIdle(idleMillis: Long) {
        idleTimer?.cancel()
        if (failure != null || isRunning) return
        idleTimer = timers.after(idleMillis) { abort("the transaction was idle for too long") }
    }

    private fun start() {
        idleTimer?.cancel()
        isRunning = true
    }

    private fun afterStatement(outcome: Outcome): Outcome {
        isRunning = false
        val reason = if (execution.isFailed) outcome.error?.text ?: "unknown" else abortReason ?: return outcome
        val isOwnError = execution.isFailed && outcome.error != null
        fail(reason)
        isCallerTold = true
        return if (isOwnError) outcome else Outcome.error(ErrorCode.ABORTED, reason)
    }

    private fun fail(reason: String) {
        idleTimer?.cancel()
        failure = reason
        execution.rollback()
    }
}
