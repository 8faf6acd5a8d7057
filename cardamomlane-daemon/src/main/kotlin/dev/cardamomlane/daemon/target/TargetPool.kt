package dev.cardamomlane.daemon.target

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.queue.ConnectionAction
import dev.cardamomlane.core.queue.ConnectionBudget
import dev.cardamomlane.wire.OpenRequest
import dev.cardamomlane.wire.OpenSession
import dev.cardamomlane.wire.SessionOpener
import org.tinylog.kotlin.Logger

/**
 * The connections of this host to one target. The [budget] decides when they are opened, handed to a statement and
 * closed.
 *
 * To be used on the event loop only.
 */
internal class TargetPool(
    private val target: TargetId,
    private val request: OpenRequest,
    private val opener: SessionOpener,
    private val timers: TimerService,
    private val budget: ConnectionBudget,
) {
    private val waiting = LinkedHashMap<Long, Waiter>()
    private val open = HashMap<Long, TargetConnection>()

    val connectionCount: Int get() = budget.connectionCount

    /** Calls [onConnection] once [requestId] has got a connection, or [onFailed] when none can be opened. */
    fun acquire(requestId: Long, onConnection: (TargetConnection) -> Unit, onFailed: (Throwable) -> Unit) {
        waiting[requestId] = Waiter(onConnection, onFailed)
        perform(budget.request(requestId, timers.nowMillis()))
    }

    /** Withdraws a request that has no connection yet. */
    fun cancel(requestId: Long) {
        waiting.remove(requestId)
        budget.cancel(requestId)
    }

    /**
     * Takes back a connection. It must expect no reply and be in no transaction. It is closed if a cancel request was sent
     * for it, which could hit the statement of the next caller.
     */
    fun release(connection: TargetConnection) {
        check(connection.isIdle) { "a connection to $target was released while a reply is still expected" }
        when {
            !connection.isOpen -> return
            connection.isCancelled -> connection.close()
            else -> perform(budget.released(connection.id, timers.nowMillis()))
        }
    }

    fun setShare(count: Int) = perform(budget.setShare(count, timers.nowMillis()))

    fun poll() = perform(budget.poll(timers.nowMillis()))

    private fun perform(actions: List<ConnectionAction>) = actions.forEach { action ->
        when (action) {
            is ConnectionAction.Open -> open(action.connectionId)
            is ConnectionAction.Assign -> assign(action)
            is ConnectionAction.Close -> open.remove(action.connectionId)?.close()
        }
    }

    private fun assign(action: ConnectionAction.Assign) {
        val connection = open.getValue(action.connectionId)
        val waiter = waiting.remove(action.requestId)
        if (waiter == null) release(connection) else waiter.onConnection(connection)
    }

    private fun open(connectionId: Long) {
        opener.open(request).subscribe(
            { session -> opened(connectionId, session) },
            { cause -> failed(connectionId, cause) },
        )
    }

    private fun opened(connectionId: Long, session: OpenSession) {
        val connection = TargetConnection(connectionId, target, session, timers, onClosed = { closed(it) })
        open[connectionId] = connection
        connection.start()
        perform(budget.opened(connectionId, timers.nowMillis()))
    }

    private fun closed(connection: TargetConnection) {
        if (open.remove(connection.id) == null) return
        perform(budget.lost(connection.id, timers.nowMillis()))
    }

    private fun failed(connectionId: Long, cause: Throwable) {
        Logger.info("target: Opening a connection to {} failed. {}", target, cause.message)
        perform(budget.lost(connectionId, timers.nowMillis()))
        // While other connections are open, the waiting requests may still get one of those.
        if (open.isNotEmpty()) return
        val failed = waiting.toMap()
        failed.keys.forEach { cancel(it) }
        failed.values.forEach { it.onFailed(cause) }
    }

    private class Waiter(val onConnection: (TargetConnection) -> Unit, val onFailed: (Throwable) -> Unit)
}
