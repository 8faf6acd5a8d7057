package dev.cardamomlane.engine.session

import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.core.limits.RefusalReason
import dev.cardamomlane.engine.config.Customer
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.forward.ServingPlace
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.Work
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode

/**
 * Starts the operations of one session: looks up the route and the customer in the newest configuration, chooses the
 * host, and, when that is this host, takes a token of the customer's rate.
 *
 * Not safe for use by several threads.
 *
 * @param isForwarded true when the operations must run on this host, since another one has sent them here
 */
internal class OperationStarter(
    private val services: SessionServices,
    private val database: String,
    private val key: String?,
    private val isForwarded: Boolean,
) {
    /** Starts a transaction. Calls one of [onStarted] and [onRefused], unless the caller leaves before. */
    fun startTransaction(
        context: OperationContext,
        isReadOnly: Boolean,
        onStarted: (OpenTransaction) -> Unit,
        onRefused: (OperationRefusal) -> Unit,
    ) = withRoute(onRefused) { route, customer ->
        if (isRemote(customer)) {
            refusalByHint(route, customer)?.let { return@withRoute onRefused(it) }
            onStarted(RemoteTransaction(remoteCall(context, route, customer), isReadOnly))
        } else {
            admitHere(context, route, customer, onRefused) { group ->
                onStarted(
                    TransactionExecution(
                        services,
                        group,
                        route,
                        isReadOnly,
                        nameOf(customer),
                        context.positions,
                        context.arrivedAtMillis,
                    ),
                )
            }
        }
    }

    /**
     * Starts one statement outside a transaction. Calls [onRefused], or [onStarted] and once later [done], unless the
     * caller leaves before.
     */
    fun startStatement(
        context: OperationContext,
        statement: ResolvedStatement,
        state: SessionState,
        onStarted: (RunningStatement) -> Unit,
        onRefused: (OperationRefusal) -> Unit,
        done: (Route, Outcome) -> Unit,
    ) = withRoute(onRefused) { route, customer ->
        if (isRemote(customer)) {
            refusalByHint(route, customer)?.let { return@withRoute onRefused(it) }
            val execution = RemoteStatement(remoteCall(context, route, customer), statement, state) { done(route, it) }
            onStarted(execution)
            execution.start()
        } else {
            admitHere(context, route, customer, onRefused) { group ->
                val execution =
                    StatementExecution(services, group, route, nameOf(customer), statement) { done(route, it) }
                onStarted(execution)
                execution.start(work(context, route, customer, statement, state, execution))
            }
        }
    }

    private fun work(
        context: OperationContext,
        route: Route,
        customer: Customer?,
        statement: ResolvedStatement,
        state: SessionState,
        execution: StatementExecution,
    ) = Work(
        id = context.id,
        route = route,
        customerName = nameOf(customer),
        state = state,
        needsPrimary = statement.access == Access.WRITE,
        positions = context.positions,
        arrivedAtMillis = context.arrivedAtMillis,
        queuedAtMillis = services.timers.nowMillis(),
        runner = execution,
    )

    private fun withRoute(onRefused: (OperationRefusal) -> Unit, then: (Route, Customer?) -> Unit) {
        if (!services.startsOperations) {
            return onRefused(OperationRefusal(ErrorCode.UNAVAILABLE, "the host is stopping, not run"))
        }
        val configuration = services.configuration
        val route = configuration.routes[database]
            ?: return onRefused(notAllowed(ErrorCode.UNKNOWN_DATABASE, "no database $database"))
        val customer = key?.let { configuration.customersByKey[it] }
        if (customer == null && !route.isPublic) {
            return onRefused(notAllowed(ErrorCode.UNAUTHORIZED, "the key is not valid"))
        }
        then(route, customer)
    }

    /**
     * True when the newest configuration lets [operation] go on: targets are told the customer that holds the key now, or
     * none where nobody holds it.
     */
    fun mayGoOn(operation: Operation): Boolean =
        nameOf(key?.let { services.configuration.customersByKey[it] }) == operation.customerName

    private fun notAllowed(code: ErrorCode, text: String) = OperationRefusal(code, text, endsSession = true)

    private fun isRemote(customer: Customer?): Boolean =
        !isForwarded && services.forwarder.place(nameOf(customer)) !is ServingPlace.Here

    /** The refusal of an operation that its member would refuse for the rate, as it said, or null to send it. */
    private fun refusalByHint(route: Route, customer: Customer?): OperationRefusal? {
        if (!services.features.schedulesByValue || customer == null) return null
        val retryAfterMillis =
            services.forwarder.hints.retryAfterMillis(nameOf(customer), route.priority, services.timers.nowMillis())
                ?: return null
        val text = "${RefusalReason.LESS_URGENT.text}, not run, retry after $retryAfterMillis ms"
        return OperationRefusal(ErrorCode.BUSY, text, route)
    }

    private fun remoteCall(context: OperationContext, route: Route, customer: Customer?) =
        RemoteCall(services, route, database, key, nameOf(customer), context.positions)

    private fun nameOf(customer: Customer?): String = customer?.id?.value ?: CallerSession.ANONYMOUS_CUSTOMER

    private fun admitHere(
        context: OperationContext,
        route: Route,
        customer: Customer?,
        onRefused: (OperationRefusal) -> Unit,
        then: (DatabaseGroup) -> Unit,
    ) {
        val group = services.group(route.group)
            ?: return onRefused(OperationRefusal(ErrorCode.UNAVAILABLE, "no target is known"))
        admit(context, route, customer, MAX_RETRIES, onRefused) { then(group) }
    }

    private fun admit(
        context: OperationContext,
        route: Route,
        customer: Customer?,
        retriesLeft: Int,
        onRefused: (OperationRefusal) -> Unit,
        then: () -> Unit,
    ) {
        val admission = customer?.let { services.gate.admit(it, route.priority, retriesLeft < MAX_RETRIES) }
            ?: Admission.Admitted
        if (admission !is Admission.Refused) return then()
        val waitedMillis = services.timers.nowMillis() - context.arrivedAtMillis
        val isWithinLimit =
            waitedMillis + admission.retryAfterMillis <= route.latencyGoalMillis / ADMISSION_WAIT_DIVISOR
        if (admission.reason == RefusalReason.OVER_RATE && isWithinLimit && retriesLeft > 0) {
            services.timers.after(maxOf(1, admission.retryAfterMillis)) {
                if (context.isWanted()) {
                    withRoute(onRefused) { _, holder ->
                        if (nameOf(holder) != nameOf(customer)) {
                            onRefused(OperationRefusal(ErrorCode.BUSY, CallerSession.KEY_MOVED, route))
                        } else {
                            admit(context, route, customer, retriesLeft - 1, onRefused, then)
                        }
                    }
                }
            }
            return
        }
        val isForRate =
            admission.reason == RefusalReason.OVER_RATE || admission.reason == RefusalReason.LESS_URGENT
        val code = if (isForRate) ErrorCode.BUSY else ErrorCode.UNAVAILABLE
        val text = "${admission.reason.text}, not run, retry after ${admission.retryAfterMillis} ms"
        onRefused(OperationRefusal(code, text, route))
    }

    private companion object {
        const val MAX_RETRIES = 15

        /** An operation waits for its customer's rate for at most its latency goal divided by this. */
        const val ADMISSION_WAIT_DIVISOR = 5
    }
}
