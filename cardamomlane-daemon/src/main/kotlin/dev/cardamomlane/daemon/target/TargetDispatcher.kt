package dev.cardamomlane.daemon.target

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.queue.Dispatch
import dev.cardamomlane.core.queue.OfferResult
import dev.cardamomlane.core.queue.QueueTicket
import dev.cardamomlane.core.queue.SlotQueue

/**
 * Starts statements on one target: each waits in the [queue] for one of the target's slots, and then for a connection
 * of the [pool].
 *
 * To be used on the event loop only.
 */
internal class TargetDispatcher(
    val target: TargetId,
    private val timers: TimerService,
    private val queue: SlotQueue,
    private val pool: TargetPool,
) {
    private val queued = HashMap<Long, DispatchEntry>()

    /** How many statements of this host run on the target or wait for it. */
    val load: Int get() = queue.runningCount + queue.waitingCount

    val waitingCount: Int get() = queue.waitingCount
    val connectionCount: Int get() = pool.connectionCount

    /** Starts, queues or refuses a statement. [listener] may be called before this returns. */
    fun submit(ticket: QueueTicket, listener: DispatchListener): DispatchEntry {
        val entry = DispatchEntry(ticket, listener)
        when (val result = queue.offer(ticket, timers.nowMillis())) {
            OfferResult.Run -> startEntry(entry)
            is OfferResult.Queued -> {
                queued[ticket.id] = entry
                result.displaced?.let { refuse(it, "queue of $target is full", retryAfterMillis = FULL_RETRY_MILLIS) }
            }
            is OfferResult.Refused -> {
                entry.state = DispatchEntry.State.ENDED
                val reason = "queue of $target refuses: ${result.reason.name.lowercase().replace('_', ' ')}"
                listener.onRefused(reason, result.retryAfterMillis)
            }
        }
        return entry
    }

    /** Cancels a statement that has no connection yet. Has no effect on a running or ended one. */
    fun cancel(entry: DispatchEntry) {
        when (entry.state) {
            DispatchEntry.State.QUEUED -> {
                queue.cancel(entry.ticket.id)
                queued.remove(entry.ticket.id)
                entry.state = DispatchEntry.State.ENDED
            }
            DispatchEntry.State.CONNECTING -> {
                pool.cancel(entry.ticket.id)
                endUnstarted(entry)
            }
            else -> Unit
        }
    }

    /** Frees the slot of a statement that has ended. The caller keeps the connection until [release]. */
    fun finish(entry: DispatchEntry) {
        check(entry.state == DispatchEntry.State.RUNNING) { "entry ${entry.ticket.id} does not run" }
        entry.state = DispatchEntry.State.ENDED
        freeSlot(entry, serviceMillis = (timers.nowMillis() - entry.startedAtMillis).toDouble())
    }

    /** Returns a connection to the pool. It must expect no reply and be in no transaction. */
    fun release(connection: TargetConnection) = pool.release(connection)

    /** Sets how many connections to the target this host may have open. */
    fun setConnectionShare(count: Int) = pool.setShare(count)

    /** Refuses statements past their deadline and starts others in free slots. To be called periodically. */
    fun poll() {
        pool.poll()
        apply(queue.poll(timers.nowMillis()))
    }

    private fun freeSlot(entry: DispatchEntry, serviceMillis: Double) =
        apply(queue.finished(entry.ticket.id, serviceMillis, timers.nowMillis()))

    private fun endUnstarted(entry: DispatchEntry) {
        entry.state = DispatchEntry.State.ENDED
        freeSlot(entry, serviceMillis = 0.0)
    }

    private fun apply(dispatch: Dispatch) {
        dispatch.expired.forEach { refuse(it, "no slot of $target came free in time", retryAfterMillis = 0) }
        dispatch.started.forEach { ticket -> queued.remove(ticket.id)?.let { startEntry(it) } }
    }

    private fun refuse(ticket: QueueTicket, reason: String, retryAfterMillis: Long) {
        val entry = queued.remove(ticket.id) ?: return
        entry.state = DispatchEntry.State.ENDED
        entry.listener.onRefused(reason, retryAfterMillis)
    }

    private fun startEntry(entry: DispatchEntry) {
        entry.state = DispatchEntry.State.CONNECTING
        entry.listener.onSlot()
        pool.acquire(
            entry.ticket.id,
            onConnection = { run(entry, it) },
            onFailed = { cause ->
                endUnstarted(entry)
                entry.listener.onConnectFailed(cause)
            },
        )
    }

    private fun run(entry: DispatchEntry, connection: TargetConnection) {
        entry.state = DispatchEntry.State.RUNNING
        entry.startedAtMillis = timers.nowMillis()
        entry.listener.onConnection(entry, connection)
    }

    private companion object {
        /** The delay before the retry of a statement that a more urgent one displaced from the full queue. */
        const val FULL_RETRY_MILLIS = 100L
    }
}
