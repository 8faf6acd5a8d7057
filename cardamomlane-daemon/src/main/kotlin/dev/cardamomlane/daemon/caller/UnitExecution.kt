package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.RouteChoice
import dev.cardamomlane.core.group.RouteRequest
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.core.limits.RefusalReason
import dev.cardamomlane.core.queue.QueueTicket
import dev.cardamomlane.daemon.TargetEvent
import dev.cardamomlane.daemon.target.DispatchEntry
import dev.cardamomlane.daemon.target.DispatchListener
import dev.cardamomlane.daemon.target.TargetConnection
import dev.cardamomlane.daemon.target.TargetDispatcher
import dev.cardamomlane.daemon.trace.UnitTrace
import dev.cardamomlane.wire.ServerError

/**
 * Runs one unit of a caller from its arrival to its answer: checks, admission, route, queue and attempts.
 *
 * The unit is sent again only while the caller has seen nothing of an answer, and only if it provably did not run, its
 * answer was discarded as stale, or its rule allows it to run more than once.
 */
internal class UnitExecution(
    private val session: CallerSession,
    private val unit: StatementUnit,
    private val plan: UnitPlan,
) : AttemptListener,
    DispatchListener {
    private val services = session.services
    private val timers = services.timers
    private val startedAtMillis = timers.nowMillis()
    private val deadlineMillis = startedAtMillis + services.settings.startDeadlineMillis
    private val trace =
        UnitTrace(services.tracer, session.group.database, session.identity.customer, plan.decision.ruleName)
    private val excluded = HashSet<TargetId>()
    private var dispatcher: TargetDispatcher? = null
    private var entry: DispatchEntry? = null
    private var routeChoice: RouteChoice.Use? = null
    private var attempt: UnitAttempt? = null
    private var attemptCount = 0

    /** A position that covers every write acknowledged before the unit, once the session's own was found not to be reached. */
    private var coveringPosition: LogPosition? = null
    private var ended = false

    fun start() {
        services.executions += this
        services.retryBudget.onRequest()
        val refusal = UnitChecks.refusal(session, plan)
        when {
            session.isAborted && plan.endsTransaction -> {
                session.endAbortedTransaction(unit)
                onAnswered()
            }
            refusal != null -> refuse(refusal)
            else -> admit()
        }
    }

    /** Gives up because the caller has disconnected. What runs on a target ends there, and its answer is dropped. */
    fun abandon() {
        if (ended) return
        leaveQueue()
        finish()
        attempt?.abandon()
    }

    /** Cancels the attempt on its target, or refuses the unit if it has not been sent yet. */
    fun cancel() {
        val running = attempt
        if (running != null) return running.cancel()
        if (ended) return
        refuse(Refusals.cancelled())
    }

    fun onCallerWritable() {
        attempt?.resumeReads()
    }

    /** Checks the timeouts of the attempt. Called every few dozen milliseconds. */
    fun onTick(nowMillis: Long) {
        attempt?.onTick(nowMillis)
    }

    private fun admit() {
        if (!plan.usesRate || session.identity.key == null) return routeOrContinue()
        when (val admission = services.gate.admit(session.identity.customer)) {
            Admission.Admitted -> routeOrContinue()
            is Admission.Refused -> onRateRefusal(admission)
        }
    }

    private fun onRateRefusal(refused: Admission.Refused) {
        val retryAtMillis = timers.nowMillis() + refused.retryAfterMillis
        val mayWait =
            refused.reason == RefusalReason.BORROWING && retryAtMillis < startedAtMillis + MAX_LOAN_WAIT_MILLIS
        if (mayWait) afterDelay(refused.retryAfterMillis.coerceAtLeast(1)) { admit() } else refuse(rateRefusal(refused))
    }

    private fun rateRefusal(refused: Admission.Refused): ServerError =
        if (refused.reason == RefusalReason.NOT_IN_STANDING) {
            Refusals.notInGoodStanding()
        } else {
            Refusals.overRate(refused.reason.text, refused.retryAfterMillis)
        }

    private fun routeOrContinue() {
        val transaction = session.transaction ?: return findMinimumPosition()
        startAttempt(AttemptPlace(transaction.dispatcher, transaction.connection, transaction = transaction))
    }

    private fun findMinimumPosition() {
        if (session.position != null || plan.isWrite) return route()
        session.group.minimumPosition().subscribe(
            { minimumPosition ->
                session.remember(minimumPosition)
                route()
            },
            { cause -> retryLater("no minimum position: ${cause.message}") { findMinimumPosition() } },
        )
    }

    private fun route() {
        if (ended) return
        val request = RouteRequest(
            write = plan.isWrite || (plan.begins && !plan.beginsReadOnly),
            minimumPosition = coveringPosition ?: session.position ?: LogPosition.START,
            maxAgeMillis = plan.decision.maxAgeMillis,
            excluded = excluded,
            load = { services.dispatcher(it).load },
        )
        when (val choice = session.group.choose(request)) {
            is RouteChoice.Use -> queue(choice)
            is RouteChoice.Wait -> rerouteLater("no target is fresh enough", choice.millis)
            is RouteChoice.Unavailable -> rerouteLater(choice.reason, ROUTE_RETRY_MILLIS)
        }
    }

    /** Chooses a target again later, also among those that failed before, since they may have recovered. */
    private fun rerouteLater(reason: String, millis: Long) {
        excluded.clear()
        retryLater(reason, millis) { route() }
    }

    private fun retryLater(reason: String, millis: Long = ROUTE_RETRY_MILLIS, again: () -> Unit) {
        if (ended) return
        if (timers.nowMillis() >= deadlineMillis) return refuse(Refusals.noTarget(reason))
        afterDelay(millis.coerceIn(1, ROUTE_RETRY_MILLIS)) { again() }
    }

    private fun afterDelay(millis: Long, action: () -> Unit) {
        timers.after(millis) { if (!ended) action() }
    }

    private fun queue(routeChoice: RouteChoice.Use) {
        val dispatcher = services.dispatcher(routeChoice.target)
        this.dispatcher = dispatcher
        this.routeChoice = routeChoice
        trace.startStage("queue", routeChoice.target)
        val customer = session.identity.customer
        val ticket = QueueTicket(
            id = services.nextTicket(),
            customer = customer,
            weight = services.gate.configuration()?.rules?.limits?.get(customer)?.weight ?: 1,
            priorityClass = plan.decision.priorityClass,
            deadlineMillis = deadlineMillis,
        )
        val entered = dispatcher.submit(ticket, this)
        if (entered.state != DispatchEntry.State.ENDED) entry = entered
    }

    override fun onSlot() = trace.startStage("connection", checkNotNull(dispatcher).target)

    override fun onConnection(entry: DispatchEntry, connection: TargetConnection) {
        startAttempt(AttemptPlace(checkNotNull(dispatcher), connection, entry, route = routeChoice))
    }

    override fun onRefused(reason: String, retryAfterMillis: Long) {
        entry = null
        refuse(Refusals.queue(reason, retryAfterMillis))
    }

    override fun onConnectFailed(cause: Throwable) {
        entry = null
        val target = checkNotNull(dispatcher).target
        session.group.observe(TargetEvent.Failed(target, "connect failed: ${cause.message}"))
        if (routeChoice?.role == TargetRole.REPLICA) excluded += target
        retryLater("no connection to $target: ${cause.message}") { route() }
    }

    private fun leaveQueue() {
        entry?.let { dispatcher?.cancel(it) }
        entry = null
    }

    private fun startAttempt(place: AttemptPlace) {
        entry = null
        trace.startStage("target", place.dispatcher.target)
        attemptCount++
        attempt = UnitAttempt(session, unit, plan, place, this).also { it.send() }
    }

    override fun onAnswered() {
        services.meters.onAnswered(timers.nowMillis() - startedAtMillis)
        finish()
        session.onExecutionEnded()
    }

    override fun onNotRun(target: TargetId, exclude: Boolean) {
        attempt = null
        services.meters.onRetry()
        if (exclude) excluded += target
        if (attemptCount >= MAX_ATTEMPTS) return refuse(Refusals.noTarget("$attemptCount attempts failed"))
        retryLater("the last target did not run the statement", millis = 1) { route() }
    }

    override fun onBehind(target: TargetId) {
        attempt = null
        session.group.minimumPosition().subscribe(
            { minimumPosition ->
                coveringPosition = minimumPosition
                onNotRun(target, exclude = false)
            },
            { onNotRun(target, exclude = false) },
        )
    }

    override fun onRepeatable(target: TargetId, reason: String) {
        if (services.retryBudget.tryRetry()) return onNotRun(target, exclude = true)
        onFailed(Refusals.outcomeUnknown("$reason, and the retry budget is used up"))
    }

    override fun onFailed(error: ServerError) {
        attempt = null
        refuse(error)
    }

    private fun refuse(error: ServerError) {
        if (ended) return
        leaveQueue()
        finish(error.sqlState)
        if (session.transaction != null || plan.opensTransaction) session.abortTransaction()
        session.answer(error)
        session.onExecutionEnded()
    }

    private fun finish(sqlState: String? = null) {
        ended = true
        trace.end(sqlState)
        services.executions -= this
        unit.release()
    }

    private companion object {
        /** The longest wait before a target is chosen again. */
        const val ROUTE_RETRY_MILLIS = 20L

        /** Limits how often one unit is sent to targets, even if its deadline has not passed. */
        const val MAX_ATTEMPTS = 20

        /**
         * How long after its arrival a unit may still wait for the answer to a loan request, see
         * [RefusalReason.BORROWING].
         */
        const val MAX_LOAN_WAIT_MILLIS = 250L
    }
}
