package dev.cardamomlane.engine.session

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.core.limits.RefusalReason
import dev.cardamomlane.engine.config.Customer
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.Work
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.PreparedPlan
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TransactionState

/**
 * One caller's session: its values, its prepared statements, its transaction, and one statement at a time.
 *
 * Route, key and rate are looked up anew for each operation, so that a changed configuration binds open sessions.
 *
 * Not safe for use by several threads.
 */
public class CallerSession internal constructor(
    private val services: SessionServices,
    private val link: CallerLink,
    private val database: String,
    private val key: String?,
) {
    private val values = LinkedHashMap<String, String>()
    private val prepared = HashMap<String, PreparedPlan>()
    private val pending = ArrayDeque<Incoming>()
    private var current: Incoming? = null
    private var transaction: Transaction? = null
    private var single: SingleRun? = null
    private var lastCommit: LogPosition? = null
    private var isClosed = false
    private var isLeaving = false
    private var idleTimer: TimerSubscription? = null

    /** True when the session rests between operations. */
    public val isIdle: Boolean get() = current == null && transaction == null && pending.isEmpty()

    /** Tells the caller that the session is open, or why it can't be. */
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

    /** Tells the caller that there is no session here, and why. */
    internal fun refuseStart(text: String) {
        isClosed = true
        link.refuse(StatementError(ErrorCode.BUSY, text))
    }

    /** Takes one statement of the caller. */
    public fun onStatement(id: String, statement: Statement) {
        if (isClosed) return
        pending.addLast(Incoming(id, statement, services.timers.nowMillis()))
        if (pending.size >= MAX_PENDING) link.setReading(false)
        if (current == null) next()
    }

    /** The caller has left: its transaction is rolled back. */
    public fun onClosed() {
        if (isClosed) return
        isClosed = true
        idleTimer?.cancel()
        pending.clear()
        single?.cancel()
        transaction?.run?.rollback()
        transaction = null
    }

    /** Closes the session at once if it is idle, else as soon as it is. */
    public fun closeWhenIdle() {
        isLeaving = true
        if (isIdle) end()
    }

    /** Aborts an open transaction so that the session can end. */
    public fun abortTransaction(reason: String) {
        val open = transaction ?: return
        if (current != null) return
        open.run?.rollback()
        transaction = open.failed(reason)
    }

    private fun end() {
        if (isClosed) return
        isClosed = true
        idleTimer?.cancel()
        link.close()
    }

    private fun next() {
        val incoming = pending.removeFirstOrNull()
        current = incoming
        if (incoming == null) {
            if (isLeaving && transaction == null) end()
            return
        }
        if (pending.size == MAX_PENDING - 1) link.setReading(true)
        idleTimer?.cancel()
        handle(incoming)
    }

    private fun handle(incoming: Incoming) {
        val open = transaction
        when (val statement = incoming.statement) {
            is Statement.Unreadable -> malformed(incoming, statement.reason)
            is Statement.Commit -> ending(incoming, open, ::commit)
            is Statement.Rollback -> ending(incoming, open, ::rollback)
            else -> when {
                open?.failure != null -> malformed(incoming, "the transaction failed: ${open.failure}")
                else -> handleUsual(incoming, statement, open)
            }
        }
    }

    private fun ending(incoming: Incoming, open: Transaction?, end: (Incoming, Transaction) -> Unit) {
        if (open == null) malformed(incoming, "no transaction is open") else end(incoming, open)
    }

    private fun handleUsual(incoming: Incoming, statement: Statement, open: Transaction?) {
        when (statement) {
            is Statement.SetValue -> {
                values[statement.name] = statement.value
                done(incoming)
            }
            is Statement.Prepare -> {
                prepared[statement.name] = statement.plan
                done(incoming)
            }
            is Statement.Close -> {
                prepared.remove(statement.name)
                done(incoming)
            }
            is Statement.Begin ->
                if (open == null) begin(incoming, statement) else malformed(incoming, "a transaction is open")
            is Statement.Run -> run(
                incoming,
                StatementRun(incoming.id, statement.access, statement.text, plan = null),
                open,
            )
            is Statement.Execute -> {
                val plan = prepared[statement.name]
                if (plan == null) {
                    fail(incoming, ErrorCode.UNKNOWN_STATEMENT, "no prepared statement ${statement.name}")
                } else {
                    run(incoming, StatementRun(incoming.id, plan.access, statement.arguments, plan), open)
                }
            }
            else -> malformed(incoming, "statement is out of place")
        }
    }

    private fun begin(incoming: Incoming, statement: Statement.Begin) {
        withRoute(incoming) { route, group, customer ->
            admit(incoming, route, customer) {
                val isReadOnly = statement.isReadOnly
                val name = customer?.id?.value ?: OPEN_CUSTOMER
                val run = TransactionRun(services, group, route, isReadOnly, name, lastCommit, incoming.arrivedAtMillis)
                transaction = Transaction(run, failure = null)
                done(incoming)
            }
        }
    }

    private fun run(incoming: Incoming, statement: StatementRun, open: Transaction?) {
        val run = open?.run
        if (run != null) {
            run.run(statement, stateFor(statement)) { outcome -> onTransactionOutcome(incoming, run, outcome) }
            return
        }
        withRoute(incoming) { route, group, customer ->
            admit(incoming, route, customer) { startSingle(incoming, statement, route, group, customer) }
        }
    }

    private fun startSingle(
        incoming: Incoming,
        statement: StatementRun,
        route: Route,
        group: DatabaseGroup,
        customer: Customer?,
    ) {
        val run = SingleRun(services, group, route, statement) { outcome ->
            single = null
            if (statement.access == Access.WRITE && outcome.error == null) remember(outcome.position)
            answer(incoming, outcome, route)
        }
        single = run
        run.start(
            Work(
                id = incoming.id,
                route = route,
                customerName = customer?.id?.value ?: OPEN_CUSTOMER,
                state = stateFor(statement),
                needsPrimary = statement.access == Access.WRITE,
                ownPosition = lastCommit,
                arrivedAtMillis = incoming.arrivedAtMillis,
                queuedAtMillis = services.timers.nowMillis(),
                runner = run,
            ),
        )
    }

    private fun onTransactionOutcome(incoming: Incoming, run: TransactionRun, outcome: Outcome) {
        if (run.isFailed) transaction = transaction?.failed(outcome.error?.text ?: "unknown")
        answer(incoming, outcome, run.route)
    }

    private fun commit(incoming: Incoming, open: Transaction) {
        val run = open.run
        if (run == null || open.failure != null) {
            run?.rollback()
            transaction = null
            return fail(incoming, ErrorCode.ABORTED, "the transaction failed and was rolled back")
        }
        run.commit(incoming.id, SessionState(values, emptyList())) { outcome ->
            transaction = null
            if (outcome.error == null) remember(outcome.position)
            answer(incoming, outcome, run.route)
        }
    }

    private fun rollback(incoming: Incoming, open: Transaction) {
        open.run?.rollback()
        transaction = null
        done(incoming)
    }

    private fun remember(position: LogPosition?) {
        if (position != null) lastCommit = position
    }

    private fun stateFor(statement: StatementRun) = SessionState(LinkedHashMap(values), listOfNotNull(statement.plan))

    private fun withRoute(incoming: Incoming, then: (Route, DatabaseGroup, Customer?) -> Unit) {
        val configuration = services.configuration
        val route = configuration.routes[database]
            ?: return refuse(incoming, ErrorCode.UNKNOWN_DATABASE, "no database $database")
        val customer = key?.let { configuration.customersByKey[it] }
        if (customer == null && !route.isPublic) return refuse(incoming, ErrorCode.UNAUTHORIZED, "the key is not valid")
        val group = services.group(route.group) ?: return fail(incoming, ErrorCode.BUSY, "no target is known")
        then(route, group, customer)
    }

    /** Refuses an operation that the configuration does not allow, and ends the session after the answer. */
    private fun refuse(incoming: Incoming, code: ErrorCode, text: String) {
        isLeaving = true
        fail(incoming, code, text)
    }

    private fun admit(
        incoming: Incoming,
        route: Route,
        customer: Customer?,
        triesLeft: Int = MAX_TRIES,
        then: () -> Unit,
    ) {
        if (isClosed) return
        val admission = customer?.let { services.gate.admit(it, triesLeft < MAX_TRIES) } ?: Admission.Admitted
        if (admission !is Admission.Refused) return then()
        val waitedMillis = services.timers.nowMillis() - incoming.arrivedAtMillis
        val isSoon = waitedMillis + admission.retryAfterMillis <= route.latencyGoalMillis / GOAL_PART
        if (admission.reason == RefusalReason.OVER_RATE && isSoon && triesLeft > 0) {
            services.timers.after(maxOf(1, admission.retryAfterMillis)) {
                admit(incoming, route, customer, triesLeft - 1, then)
            }
            return
        }
        val text = "${admission.reason.text}, not run, retry after ${admission.retryAfterMillis} ms"
        answer(incoming, Outcome.error(ErrorCode.BUSY, text), route)
    }

    private fun malformed(incoming: Incoming, text: String) = fail(incoming, ErrorCode.MALFORMED, text)

    private fun done(incoming: Incoming) {
        reply(CallerAnswer(id = incoming.id, state = state()))
    }

    private fun fail(incoming: Incoming, code: ErrorCode, text: String) {
        services.log.request(incoming.id, "refused", "database", database, "code", code, "reason", text)
        reply(CallerAnswer(id = incoming.id, error = StatementError(code, text), state = state()))
    }

    private fun answer(incoming: Incoming, outcome: Outcome, route: Route) {
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
                state = state(),
                position = outcome.position,
            ),
        )
    }

    private fun reply(answer: CallerAnswer) {
        if (!isClosed) link.answer(answer)
        current = null
        if (isClosed) return
        watchIdleTransaction()
        next()
    }

    private fun watchIdleTransaction() {
        if (transaction?.run == null) return
        idleTimer?.cancel()
        idleTimer = services.timers.after(services.configuration.transactionIdleMillis) {
            abortTransaction("the transaction was idle for too long")
        }
    }

    private fun state(): TransactionState {
        val open = transaction ?: return TransactionState.IDLE
        return if (open.failure == null) TransactionState.OPEN else TransactionState.FAILED
    }

    private class Incoming(val id: String, val statement: Statement, val arrivedAtMillis: Long)

    /** An open transaction; a failed one has no run and waits for its end. */
    private class Transaction(val run: TransactionRun?, val failure: String?) {
        fun failed(reason: String): Transaction {
            run?.rollback()
            return Transaction(run = null, failure = reason)
        }
    }

    public companion object {
        /** Stands for callers of open databases, who belong to no customer. */
        public const val OPEN_CUSTOMER: String = "-"
        private const val MAX_PENDING = 32
        private const val MAX_TRIES = 15

        /** The part of its goal that an operation may wait for its customer's rate, as a divisor. */
        private const val GOAL_PART = 5
    }
}
