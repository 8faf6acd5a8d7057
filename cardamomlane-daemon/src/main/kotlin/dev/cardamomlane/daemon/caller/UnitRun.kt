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
 * Brings one unit of a caller from its arrival to its answer: checks, admission, route, queue and attempts.
 *
 * The unit is sent a second time only if it provably did not run, or if its rule allows it and the caller has seen
 * nothing of the first answer.
 */
internal class UnitRun(
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
    private var lane: TargetDispatcher? = null
    private var entry: DispatchEntry? = null
    private var use: RouteChoice.Use? = null
    private var attempt: UnitAttempt? = null
    private var sentCount = 0
    private var ended = false

    fun start() {
        services.runs += this
        services.retries.onRequest()
        val refusal = UnitChecks.refusal(session, plan)
        when {
            session.isAborted && plan.endsTransaction -> {
                session.endAborted(unit)
                onAnswered()
            }
            refusal != null -> refuse(refusal)
            else -> admit()
        }
    }

    /** Gives up for a caller that has gone. What runs on a target ends there, and its answer is dropped. */
    fun abandon() {
        if (ended) return
        leaveQueue()
        finish()
        attempt?.abandon()
    }

    fun cancel() {
        val running = attempt
        if (running != null) return running.cancel()
        if (ended) return
        refuse(Refusals.cancelled())
    }

    fun onCallerWritable() {
        attempt?.resumeReads()
    }

    /** Looks at deadlines. Called every few dozen milliseconds. */
    fun onTick(nowMillis: Long) {
        attempt?.onTick(nowMillis)
    }

    private fun admit() {
        if (!plan.isCharged || session.identity.key == null) return routeOrContinue()
        when (val admission = services.gate.admit(session.identity.customer)) {
            Admission.Admitted -> routeOrContinue()
            is Admission.Refused -> onOverRate(admission)
        }
    }

    private fun onOverRate(refused: Admission.Refused) {
        val retryAtMillis = timers.nowMillis() + refused.retryAfterMillis
        val mayWait = refused.reason == RefusalReason.BORROWING && retryAtMillis < startedAtMillis + MAX_BORROW_MILLIS
        if (mayWait) later(refused.retryAfterMillis.coerceAtLeast(1)) { admit() } else refuse(overRate(refused))
    }

    private fun overRate(refused: Admission.Refused): ServerError =
        if (refused.reason == RefusalReason.NOT_IN_STANDING) {
            Refusals.noStanding()
        } else {
            Refusals.overRate(refused.reason.text, refused.retryAfterMillis)
        }

    private fun routeOrContinue() {
        val transaction = session.transaction ?: return findFloor()
        begin(AttemptPlace(transaction.lane, transaction.connection, transaction = transaction))
    }

    private fun findFloor() {
        if (session.position != null || plan.isWrite) return route()
        session.group.minimumPosition().subscribe(
            { floor ->
                session.position = maxOf(floor, session.position ?: floor)
                route()
            },
            { cause -> routeLater("no floor: ${cause.message}") { findFloor() } },
        )
    }

    private fun route() {
        if (ended) return
        val request = RouteRequest(
            write = plan.isWrite || (plan.begins && !plan.beginsReadOnly),
            minimumPosition = session.position ?: LogPosition.START,
            maxAgeMillis = plan.decision.maxAgeMillis,
            excluded = excluded,
            load = { services.lane(it).load },
        )
        when (val choice = session.group.choose(request)) {
            is RouteChoice.Use -> queue(choice)
            is RouteChoice.Wait -> rerouteLater("no target is fresh enough", choice.millis)
            is RouteChoice.Unavailable -> rerouteLater(choice.reason, ROUTE_RETRY_MILLIS)
        }
    }

    /** Asks for a route again, then also among targets that failed before, which may have recovered. */
    private fun rerouteLater(reason: String, millis: Long) {
        excluded.clear()
        routeLater(reason, millis) { route() }
    }

    private fun routeLater(reason: String, millis: Long = ROUTE_RETRY_MILLIS, again: () -> Unit) {
        if (ended) return
        if (timers.nowMillis() >= deadlineMillis) return refuse(Refusals.noTarget(reason))
        later(millis.coerceIn(1, ROUTE_RETRY_MILLIS)) { again() }
    }

    private fun later(millis: Long, action: () -> Unit) {
        timers.after(millis) { if (!ended) action() }
    }

    private fun queue(use: RouteChoice.Use) {
        val lane = services.lane(use.target)
        this.lane = lane
        this.use = use
        trace.enter("queue", use.target)
        val customer = session.identity.customer
        val ticket = QueueTicket(
            id = services.nextTicket(),
            customer = customer,
            weight = services.gate.configuration()?.rules?.limits?.get(customer)?.weight ?: 1,
            priorityClass = plan.decision.priorityClass,
            deadlineMillis = deadlineMillis,
        )
        val entered = lane.submit(ticket, this)
        if (entered.state != DispatchEntry.State.ENDED) entry = entered
    }

    override fun onSlot() = trace.enter("connection", checkNotNull(lane).target)

    override fun onConnection(entry: DispatchEntry, connection: TargetConnection) {
        begin(AttemptPlace(checkNotNull(lane), connection, entry, use = use))
    }

    override fun onRefused(reason: String, retryAfterMillis: Long) {
        entry = null
        refuse(Refusals.queue(reason, retryAfterMillis))
    }

    override fun onConnectFailed(cause: Throwable) {
        entry = null
        val target = checkNotNull(lane).target
        session.group.observe(TargetEvent.Failed(target, "connect failed: ${cause.message}"))
        if (use?.role == TargetRole.REPLICA) excluded += target
        routeLater("no connection to $target: ${cause.message}") { route() }
    }

    private fun leaveQueue() {
        entry?.let { lane?.cancel(it) }
        entry = null
    }

    private fun begin(place: AttemptPlace) {
        entry = null
        trace.enter("target", place.lane.target)
        sentCount++
        attempt = UnitAttempt(session, unit, plan, place, this).also { it.send() }
    }

    override fun onAnswered() {
        services.meters.onAnswered(timers.nowMillis() - startedAtMillis)
        finish()
        session.onRunEnded()
    }

    override fun onNotRun(target: TargetId, exclude: Boolean) {
        attempt = null
        services.meters.onRetry()
        if (exclude) excluded += target
        if (sentCount >= MAX_SENDS) return refuse(Refusals.noTarget("$sentCount targets did not run the statement"))
        routeLater("no target took the statement", millis = 1) { route() }
    }

    override fun onRepeatable(target: TargetId, reason: String) {
        if (services.retries.tryRetry()) return onNotRun(target, exclude = true)
        onFailed(Refusals.outcomeUnknown("$reason, and too many statements are being repeated"))
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
        session.onRunEnded()
    }

    private fun finish(sqlState: String? = null) {
        ended = true
        trace.end(sqlState)
        services.runs -= this
        unit.release()
    }

    private companion object {
        const val ROUTE_RETRY_MILLIS = 20L

        /** Bounds how often one unit reaches targets, whatever its deadline. */
        const val MAX_SENDS = 20
        const val MAX_BORROW_MILLIS = 250L
    }
}
