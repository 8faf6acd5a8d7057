package dev.cardamomlane.engine.session

import dev.cardamomlane.core.session.LogCommit
import dev.cardamomlane.core.session.SessionPositions
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.PreparedPlan
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TransactionState

/**
 * One caller's session: its session values, prepared statements and transaction. It runs one statement at a time, in
 * the order of arrival.
 *
 * Route, key and rate are looked up for each operation, so that a changed configuration applies to open sessions.
 *
 * An operation runs on the host that [dev.cardamomlane.engine.forward.Forwarder] chooses. That host runs it in a session
 * of its own, which adopts this one's state and lasts as long as the operation.
 *
 * Not safe for use by several threads.
 *
 * @param isForwarded true for an operation that another host has sent here, which must run here
 */
public class CallerSession internal constructor(
    private val services: SessionServices,
    private val link: CallerLink,
    private val database: String,
    private val key: String?,
    isForwarded: Boolean = false,
) {
    private val operations = OperationStarter(services, database, key, isForwarded)
    private val state = CallerState()
    private val pending = ArrayDeque<IncomingStatement>()
    private var current: IncomingStatement? = null
    private var transaction: SessionTransaction? = null
    private var runningStatement: RunningStatement? = null
    private var positions = SessionPositions.NONE
    private var isClosed = false
    private var isClosing = false

    /** True when no statement runs or waits and no transaction is open. */
    public val isIdle: Boolean get() = current == null && transaction == null && pending.isEmpty()

    /** False once the session has ended. Its connection may be open until the last answer is sent. */
    public val isOpen: Boolean get() = !isClosed

    /** Tells the caller that the session is open, or refuses it when the configuration does not allow it. */
    internal fun open() {
        if (isClosed) return
        val configuration = services.configuration
        val route = configuration.routes[database]
        val error = when {
            configuration.version < 0 -> StatementError(ErrorCode.BUSY, "the host is starting, not run")
            route == null -> StatementError(ErrorCode.UNKNOWN_DATABASE, "no database $database")
            route.isPublic || key in configuration.customersByKey -> null
            else -> StatementError(ErrorCode.UNAUTHORIZED, "the key is not valid")
        }
        if (error == null) return link.opened()
        services.log.request("-", "session_refused", "database", database, "code", error.code)
        isClosed = true
        link.refuse(error)
    }

    /** Takes over the session values of the session that an operation is from. */
    internal fun adopt(newValues: Map<String, String>): Unit = state.adopt(newValues)

    /** Takes over the own [commits] of the session that an operation is from. */
    internal fun adopt(commits: List<LogCommit>) {
        positions = SessionPositions.of(commits)
    }

    /** Refuses the session with [ErrorCode.BUSY] and [text]. */
    internal fun refuse(text: String) {
        isClosed = true
        link.refuse(StatementError(ErrorCode.BUSY, text))
    }

    /**
     * Runs [statement] after those that arrived before. Reading from the caller stops while too many statements wait.
     *
     * @param id the caller's id of the statement
     */
    public fun onStatement(id: String, statement: Statement) {
        if (isClosed) return
        pending.addLast(IncomingStatement(id, statement, services.timers.nowMillis()))
        if (pending.size >= MAX_PENDING_STATEMENTS) link.setReading(false)
        if (current == null) startNext()
    }

    /** The caller's connection has ended: drops waiting statements and rolls an open transaction back. */
    public fun onClosed() {
        if (isClosed) return
        isClosed = true
        pending.clear()
        runningStatement?.cancel()
        transaction?.rollback()
        transaction = null
    }

    /** Closes the session now if it is idle, or else once it becomes idle. */
    public fun closeWhenIdle() {
        isClosing = true
        if (isIdle) end()
    }

    /**
     * Ends the operation under way as soon as no target runs a statement of it. A statement that no target has got yet
     * fails with [error] at once; a transaction is aborted, see [SessionTransaction.abort].
     */
    internal fun endOperation(error: StatementError) {
        runningStatement?.endUnsent(error)
        transaction?.abort(error.text)
    }

    /**
     * Ends the operation under way if the newest configuration gives its key to nobody or to another customer, on public
     * routes too, as targets are told the customer. A transaction is rolled back within a second. Returns true if there
     * was such an operation.
     */
    internal fun endIfKeyWithdrawn(): Boolean {
        val withdrawnStatement = runningStatement?.takeUnless(operations::mayGoOn)
        val withdrawnTransaction = transaction?.takeUnless(operations::mayGoOn)
        withdrawnStatement?.endUnsent(
            if (withdrawnStatement.route.isPublic) {
                StatementError(ErrorCode.BUSY, KEY_MOVED)
            } else {
                StatementError(ErrorCode.UNAUTHORIZED, KEY_WITHDRAWN)
            },
        )
        withdrawnTransaction?.abort(KEY_WITHDRAWN, withinMillis = WITHDRAWN_KEY_MILLIS)
        return withdrawnStatement != null || withdrawnTransaction != null
    }

    /** Answers the statement under way now, without waiting for its target any longer. */
    internal fun giveUp(reason: String) {
        runningStatement?.giveUp(reason)
        transaction?.giveUp(reason)
    }

    private fun end() {
        if (isClosed) return
        isClosed = true
        link.close()
    }

    private fun startNext() {
        val incoming = pending.removeFirstOrNull()
        current = incoming
        if (incoming == null) {
            if (isClosing && transaction == null) end()
            return
        }
        if (pending.size == MAX_PENDING_STATEMENTS - 1) link.setReading(true)
        handle(incoming)
    }

    private fun handle(incoming: IncomingStatement) {
        val open = transaction
        when (val statement = incoming.statement) {
            is Statement.Unreadable -> fail(incoming, statement.code, statement.reason)
            is Statement.Commit -> endTransaction(incoming, open, ::commit)
            is Statement.Rollback -> endTransaction(incoming, open, ::rollback)
            else -> {
                val refusal = open?.refusal()
                if (refusal != null) return answer(incoming, refusal, open.route)
                handleStatement(incoming, statement, open)
            }
        }
    }

    private fun endTransaction(
        incoming: IncomingStatement,
        open: SessionTransaction?,
        end: (IncomingStatement, SessionTransaction) -> Unit,
    ) {
        if (open == null) failMalformed(incoming, "no transaction is open") else end(incoming, open)
    }

    private fun handleStatement(incoming: IncomingStatement, statement: Statement, open: SessionTransaction?) {
        when (statement) {
            is Statement.SetValue -> answerChange(incoming, state.set(statement.name, statement.value))
            is Statement.Prepare -> answerChange(incoming, state.prepare(statement.name, statement.plan))
            is Statement.Close -> {
                state.close(statement.name)
                succeed(incoming)
            }
            is Statement.Begin ->
                if (open == null) begin(incoming, statement) else failMalformed(incoming, "a transaction is open")
            is Statement.Run -> run(
                incoming,
                ResolvedStatement(incoming.id, statement.access, statement.text, plan = null),
                open,
            )
            is Statement.Execute -> {
                val plan = state.plan(statement.name)
                if (plan == null) {
                    fail(incoming, ErrorCode.UNKNOWN_STATEMENT, "no prepared statement of this name")
                } else {
                    execute(incoming, plan, statement.arguments, open)
                }
            }
            is Statement.ExecutePlan -> execute(incoming, statement.plan, statement.arguments, open)
            else -> failMalformed(incoming, "the statement is not allowed here")
        }
    }

    private fun answerChange(incoming: IncomingStatement, isDone: Boolean) {
        if (isDone) return succeed(incoming)
        fail(incoming, ErrorCode.TOO_LARGE, "the session's values and statements exceed the limit")
    }

    private fun begin(incoming: IncomingStatement, statement: Statement.Begin) {
        operations.startTransaction(
            context(incoming),
            statement.isReadOnly,
            onStarted = { execution ->
                transaction = SessionTransaction(execution, services.timers)
                succeed(incoming)
            },
            onRefused = { refuse(incoming, it) },
        )
    }

    private fun execute(incoming: IncomingStatement, plan: PreparedPlan, arguments: String, open: SessionTransaction?) =
        run(incoming, ResolvedStatement(incoming.id, plan.access, arguments, plan), open)

    private fun run(incoming: IncomingStatement, statement: ResolvedStatement, open: SessionTransaction?) {
        if (open != null) {
            open.run(statement, stateFor(statement)) { outcome -> answer(incoming, outcome, open.route) }
            return
        }
        operations.startStatement(
            context(incoming),
            statement,
            stateFor(statement),
            onStarted = { runningStatement = it },
            onRefused = { refuse(incoming, it) },
            done = { route, outcome ->
                runningStatement = null
                answer(incoming, outcome, route)
            },
        )
    }

    private fun context(incoming: IncomingStatement) =
        OperationContext(incoming.id, incoming.arrivedAtMillis, positions, isWanted = { !isClosed })

    private fun commit(incoming: IncomingStatement, open: SessionTransaction) {
        open.commit(incoming.id, SessionState(state.values, emptyList())) { outcome ->
            transaction = null
            answer(incoming, outcome, open.route)
        }
    }

    private fun rollback(incoming: IncomingStatement, open: SessionTransaction) {
        open.rollback()
        transaction = null
        succeed(incoming)
    }

    private fun stateFor(statement: ResolvedStatement) = SessionState(state.values, listOfNotNull(statement.plan))

    /** Answers an operation that was not started; closes the session when the configuration does not allow it. */
    private fun refuse(incoming: IncomingStatement, refusal: OperationRefusal) {
        if (refusal.endsSession) isClosing = true
        val route = refusal.route ?: return fail(incoming, refusal.code, refusal.text)
        answer(incoming, Outcome.error(refusal.code, refusal.text), route)
    }

    private fun failMalformed(incoming: IncomingStatement, text: String) = fail(incoming, ErrorCode.MALFORMED, text)

    private fun succeed(incoming: IncomingStatement) {
        reply(CallerAnswer(id = incoming.id, state = transactionState()))
    }

    private fun fail(incoming: IncomingStatement, code: ErrorCode, text: String) {
        services.log.request(incoming.id, "refused", "database", database, "code", code, "reason", text)
        reply(CallerAnswer(id = incoming.id, error = StatementError(code, text), state = transactionState()))
    }

    private fun answer(incoming: IncomingStatement, outcome: Outcome, route: Route) {
        outcome.committed?.let { positions = positions.after(it) }
        val tookMillis = services.timers.nowMillis() - incoming.arrivedAtMillis
        services.count(route.name, outcome.error?.code?.name ?: "OK", tookMillis)
        if (outcome.error != null) {
            services.log.request(
                incoming.id, "failed", "database", database, "group", route.group.value,
                "code", outcome.error.code, "reason", outcome.error.text, "took_ms", tookMillis,
            )
        }
        reply(
            CallerAnswer(
                id = incoming.id,
                rows = outcome.rows,
                digest = outcome.digest,
                error = outcome.error,
                state = transactionState(),
                position = outcome.position,
                committed = outcome.committed,
            ),
        )
    }

    private fun reply(answer: CallerAnswer) {
        if (!isClosed) link.answer(answer)
        current = null
        if (isClosed) return
        transaction?.watchIdle(services.configuration.transactionIdleMillis)
        startNext()
    }

    private fun transactionState(): TransactionState = transaction?.state ?: TransactionState.IDLE

    private class IncomingStatement(val id: String, val statement: Statement, val arrivedAtMillis: Long)

    public companion object {
        /** The customer name of callers without a key, which only public databases serve. */
        public const val ANONYMOUS_CUSTOMER: String = "-"
        private const val MAX_PENDING_STATEMENTS = 32
        private const val KEY_WITHDRAWN = "the key is not valid any more"

        /** The refusal of an operation that began for another customer than the one that holds the key now. */
        internal const val KEY_MOVED = "the key's customer has changed, not run"

        /**
         * How long a statement of a transaction may run on after its key was withdrawn. Leaves two of the three seconds in
         * which a configuration is to apply for the host to learn of it.
         */
        private const val WITHDRAWN_KEY_MILLIS = 1_000L
    }
}
