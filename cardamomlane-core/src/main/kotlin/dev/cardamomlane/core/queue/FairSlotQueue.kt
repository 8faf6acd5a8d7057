package dev.cardamomlane.core.queue

import dev.cardamomlane.core.CustomerId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import java.util.TreeSet
import kotlin.math.ceil

/**
 * A [SlotQueue] with weighted fair queueing among the customers of a class. It estimates waits from the mean service
 * time.
 *
 * @param concurrency decides how many tickets run at once
 * @param maxWaiting the maximum number of waiting tickets
 * @param maxWaitingPerCustomer the maximum number of waiting tickets of one customer
 * @param agingMillis a class with waiting tickets but no start for this long may go before more urgent classes
 * @param agedStartEvery at most one of this many starts goes to such a class
 */
public class FairSlotQueue(
    private val concurrency: ConcurrencyLimit,
    private val maxWaiting: Int = 2_000,
    private val maxWaitingPerCustomer: Int = 500,
    private val agingMillis: Long = 500,
    private val agedStartEvery: Int = 8,
) : SlotQueue {
    private val classes = QueueTicket.CLASSES.map { ClassQueue() }
    private val waiting = HashMap<Long, QueueTicket>()
    private val waitingByCustomer = HashMap<CustomerId, Int>()
    private val byDeadline = TreeSet(DEADLINE_ORDER)
    private val running = HashMap<Long, RunningTicket>()
    private var meanServiceMillis = 0.0
    private var startsSinceAgedStart = 0

    init {
        require(maxWaiting >= 1) { "maxWaiting must be at least 1 but was $maxWaiting" }
        require(maxWaitingPerCustomer >= 1) {
            "maxWaitingPerCustomer must be at least 1 but was $maxWaitingPerCustomer"
        }
        require(agingMillis >= 0) { "agingMillis must not be negative but was $agingMillis" }
        require(agedStartEvery >= 2) { "agedStartEvery must be at least 2 but was $agedStartEvery" }
    }

    override val runningCount: Int
        get() = running.size

    override val waitingCount: Int
        get() = waiting.size

    override val limit: Int
        get() = concurrency.limit

    override val nextDeadlineMillis: Long?
        get() = if (byDeadline.isEmpty()) null else byDeadline.first().deadlineMillis

    override fun offer(ticket: QueueTicket, nowMillis: Long): OfferResult {
        require(ticket.id !in waiting && ticket.id !in running) { "ticket ${ticket.id} was offered twice" }
        if (waiting.isEmpty() && running.size < limit) {
            running[ticket.id] = RunningTicket(ticket, chargedMillis = null)
            return OfferResult.Run
        }
        val waitMillis = expectedWaitMillis(ticket)
        val lateMillis = nowMillis + waitMillis - ticket.deadlineMillis
        if (lateMillis > 0) return OfferResult.Refused(QueueRefusal.DEADLINE, retryAfterMillis = lateMillis)
        val retryAfterMillis = maxOf(1, waitMillis)
        if ((waitingByCustomer[ticket.customer] ?: 0) >= maxWaitingPerCustomer) {
            return OfferResult.Refused(QueueRefusal.CUSTOMER_FULL, retryAfterMillis)
        }
        val displaced = if (waiting.size < maxWaiting) null else findDisplaced(ticket)
        if (waiting.size >= maxWaiting && displaced == null) {
            return OfferResult.Refused(QueueRefusal.QUEUE_FULL, retryAfterMillis)
        }
        displaced?.let(::remove)
        add(ticket, nowMillis)
        return OfferResult.Queued(displaced)
    }

    override fun finished(id: Long, serviceMillis: Double, nowMillis: Long): Dispatch {
        val ended = checkNotNull(running[id]) { "ticket $id holds no slot" }
        concurrency.observe(serviceMillis, runningCount = running.size)
        running.remove(id)
        updateMeanService(serviceMillis)
        ended.chargedMillis?.let { charged ->
            classOf(ended.ticket).correct(ended.ticket.customer, differenceMillis = serviceMillis - charged)
        }
        return poll(nowMillis)
    }

    override fun cancel(id: Long): Boolean {
        val ticket = waiting[id] ?: return false
        remove(ticket)
        return true
    }

    override fun poll(nowMillis: Long): Dispatch {
        val expired = expire(nowMillis)
        return Dispatch(started = fillSlots(nowMillis), expired = expired)
    }

    private fun expire(nowMillis: Long): ImmutableList<QueueTicket> {
        if (byDeadline.isEmpty() || byDeadline.first().deadlineMillis >= nowMillis) return persistentListOf()
        val expired = byDeadline.takeWhile { it.deadlineMillis < nowMillis }
        expired.forEach(::remove)
        return expired.toImmutableList()
    }

    private fun fillSlots(nowMillis: Long): ImmutableList<QueueTicket> {
        var started = persistentListOf<QueueTicket>()
        while (waiting.isNotEmpty() && running.size < limit) {
            val ticket = nextClass(nowMillis).takeNext(chargeMillis = meanServiceMillis, nowMillis = nowMillis)
            removeFromIndexes(ticket)
            running[ticket.id] = RunningTicket(ticket, chargedMillis = meanServiceMillis)
            started = started.add(ticket)
        }
        return started
    }

    private fun nextClass(nowMillis: Long): ClassQueue {
        val mostUrgent = classes.first { it.waitingCount > 0 }
        if (++startsSinceAgedStart < agedStartEvery) return mostUrgent
        val aged =
            classes
                .filter { it !== mostUrgent && it.waitingCount > 0 && nowMillis - it.servedAtMillis >= agingMillis }
                .minByOrNull { it.servedAtMillis } ?: return mostUrgent
        startsSinceAgedStart = 0
        return aged
    }

    /**
     * Estimates how long [ticket] would wait: the waiting tickets of all more urgent classes start before it, and those
     * of its own class that weighted fair shares put before it.
     */
    private fun expectedWaitMillis(ticket: QueueTicket): Long {
        val own = classOf(ticket)
        var urgentCount = 0
        for (index in 0 until ticket.priorityClass - 1) urgentCount += classes[index].waitingCount
        val customerCount = own.waitingOf(ticket.customer)
        val weightSum = own.waitingWeight + if (customerCount == 0) ticket.weight else 0
        val fairAheadCount = ceil((customerCount + 1.0) * weightSum / ticket.weight).toInt() - 1
        val aheadCount = urgentCount + minOf(own.waitingCount, fairAheadCount)
        return ceil((aheadCount + 1) * meanServiceMillis / limit).toLong()
    }

    /**
     * Finds the waiting ticket that [ticket] may displace, or returns null. It is the newest ticket of the longest flow
     * in the least urgent class, if that class is less urgent or that flow is longer, relative to the weights, than the
     * flow of [ticket] would become.
     */
    private fun findDisplaced(ticket: QueueTicket): QueueTicket? {
        val leastUrgent = classes.indexOfLast { it.waitingCount > 0 }
        val ownIndex = ticket.priorityClass - 1
        if (leastUrgent < ownIndex) return null
        val longest = classes[leastUrgent].longestFlow() ?: return null
        val ownLength = (classes[ownIndex].waitingOf(ticket.customer) + 1.0) / ticket.weight
        return if (leastUrgent > ownIndex || longest.weightedLength > ownLength) longest.newest() else null
    }

    private fun add(ticket: QueueTicket, nowMillis: Long) {
        classOf(ticket).add(ticket, nowMillis)
        waiting[ticket.id] = ticket
        waitingByCustomer.merge(ticket.customer, 1, Int::plus)
        byDeadline.add(ticket)
    }

    private fun remove(ticket: QueueTicket) {
        classOf(ticket).remove(ticket)
        removeFromIndexes(ticket)
    }

    private fun removeFromIndexes(ticket: QueueTicket) {
        waiting.remove(ticket.id)
        waitingByCustomer.computeIfPresent(ticket.customer) { _, count -> if (count > 1) count - 1 else null }
        byDeadline.remove(ticket)
    }

    private fun updateMeanService(serviceMillis: Double) {
        meanServiceMillis =
            if (meanServiceMillis == 0.0) {
                serviceMillis
            } else {
                meanServiceMillis + (serviceMillis - meanServiceMillis) * SERVICE_SMOOTHING
            }
    }

    private fun classOf(ticket: QueueTicket): ClassQueue = classes[ticket.priorityClass - 1]

    /** A ticket that holds a slot. [chargedMillis] is what its customer was charged, or null if it never waited. */
    private class RunningTicket(val ticket: QueueTicket, val chargedMillis: Double?)

    private companion object {
        const val SERVICE_SMOOTHING = 0.1

        val DEADLINE_ORDER =
            Comparator<QueueTicket> { one, other ->
                val byDeadline = one.deadlineMillis.compareTo(other.deadlineMillis)
                if (byDeadline != 0) byDeadline else one.id.compareTo(other.id)
            }
    }
}
