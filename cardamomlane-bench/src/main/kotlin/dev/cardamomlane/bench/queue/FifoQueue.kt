package dev.cardamomlane.bench.queue

import dev.cardamomlane.core.queue.ConcurrencyLimit
import dev.cardamomlane.core.queue.Dispatch
import dev.cardamomlane.core.queue.OfferResult
import dev.cardamomlane.core.queue.QueueTicket
import dev.cardamomlane.core.queue.SlotQueue
import kotlinx.collections.immutable.toImmutableList

/** The baseline: a first-in-first-out [SlotQueue] without bounds, classes or deadlines. */
internal class FifoQueue(private val concurrency: ConcurrencyLimit) : SlotQueue {
    private val waiting = LinkedHashMap<Long, QueueTicket>()
    private val running = HashSet<Long>()

    override val runningCount: Int
        get() = running.size

    override val waitingCount: Int
        get() = waiting.size

    override val limit: Int
        get() = concurrency.limit

    override val nextDeadlineMillis: Long? = null

    override fun offer(ticket: QueueTicket, nowMillis: Long): OfferResult {
        if (waiting.isEmpty() && running.size < limit) {
            running += ticket.id
            return OfferResult.Run
        }
        waiting[ticket.id] = ticket
        return OfferResult.Queued()
    }

    override fun finished(id: Long, serviceMillis: Double, nowMillis: Long): Dispatch {
        concurrency.observe(serviceMillis, runningCount = running.size)
        running -= id
        return poll(nowMillis)
    }

    override fun cancel(id: Long): Boolean = waiting.remove(id) != null

    override fun poll(nowMillis: Long): Dispatch {
        val started = waiting.values.take(maxOf(0, limit - running.size))
        started.forEach {
            waiting.remove(it.id)
            running += it.id
        }
        return Dispatch(started = started.toImmutableList())
    }
}
