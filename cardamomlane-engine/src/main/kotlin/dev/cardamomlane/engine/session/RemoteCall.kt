package dev.cardamomlane.engine.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.session.LogCommit
import dev.cardamomlane.core.session.SessionPositions
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.forward.Forwarder
import dev.cardamomlane.engine.forward.HostConnection
import dev.cardamomlane.engine.forward.OperationAnswer
import dev.cardamomlane.engine.forward.OperationRequest
import dev.cardamomlane.engine.forward.OperationStart
import dev.cardamomlane.engine.forward.SendHint
import dev.cardamomlane.engine.forward.ServingPlace
import dev.cardamomlane.engine.forward.TransactionKind
import dev.cardamomlane.engine.statement.StatementError

/**
 * What the forwarded operations of one session need: who asks, for what, and over which connections.
 *
 * @property positions the session's own commits
 */
internal class RemoteCall(
    val services: SessionServices,
    val route: Route,
    val database: String,
    val key: String?,
    val customerName: String,
    val positions: SessionPositions,
) {
    val forwarder: Forwarder get() = services.forwarder
    private val tried = HashSet<String>()

    /** The connection to the member that comes next, or null when there is none to try. */
    fun nextConnection(): HostConnection? {
        if (tried.size >= MAX_HOSTS) return null
        val place = forwarder.place(customerName, tried) as? ServingPlace.Remote ?: return null
        tried += place.connection.member.name
        return place.connection
    }

    /**
     * Sends [request], the first step of an operation, over [connection], along with what the member has to know of the
     * session and how many operations like this one were refused here by a hint.
     */
    fun sendFirst(connection: HostConnection, request: OperationRequest) {
        val refusedCount = forwarder.hints.takeRefusedCount(customerName, route.priority, services.timers.nowMillis())
        connection.send(request, positions.commits, namesGroup, refusedCount)
    }

    fun onHint(hint: SendHint?) {
        if (!services.features.schedulesByValue) return
        forwarder.hints.onAnswer(customerName, route.priority, hint, services.timers.nowMillis())
    }

    /** True when a member that goes by the newest configuration may choose another group than [route] does. */
    private val namesGroup: Boolean = services.configuration.version < forwarder.newestVersion

    fun start(transaction: TransactionKind) = OperationStart(
        database = database,
        key = key,
        transaction = transaction,
        lastCommit = positions.of(route.group),
        configurationVersion = maxOf(services.configuration.version, forwarder.newestVersion),
    )

    /**
     * The outcome of a step that a member answered with [answer].
     *
     * @param committedTo the group in whose log the answer acknowledges a commit, as the member says; it says
     *   nothing when it is that of [route]
     * @param acknowledgesWrites whether the step's success acknowledges a commit of writes
     */
    fun outcome(answer: OperationAnswer, committedTo: DatabaseId?, acknowledgesWrites: Boolean): Outcome {
        val log = committedTo ?: route.group.takeIf { acknowledgesWrites && answer.error == null }
        return Outcome(
            rows = answer.rows,
            digest = answer.digest,
            error = answer.error?.let { StatementError(it, answer.errorText) },
            position = answer.position,
            committed = log?.let { LogCommit.of(it, answer.position) },
        )
    }

    companion object {
        /** How much longer than the route's timeout an answer is waited for: the serving host keeps the timeout. */
        const val ANSWER_MARGIN_MILLIS = 60L

        /** How many members are tried for one operation. */
        private const val MAX_HOSTS = 3
    }
}
