package dev.cardamomlane.core.queue

import dev.cardamomlane.core.CustomerId
import java.util.TreeSet

/**
 * The waiting tickets of one priority class, ordered by start-time fair queueing among customers.
 *
 * Virtual time is counted in milliseconds of service per unit of weight. A flow is charged an estimate when a ticket
 * starts, and the difference from the measured service time when the ticket ends.
 */
internal class ClassQueue {
    private val flows = HashMap<CustomerId, CustomerFlow>()
    private val backlogged = TreeSet<CustomerFlow>()
    private var virtualMillis = 0.0

    var waitingCount = 0
        private set

    /** The sum of the weights of the customers with waiting tickets. */
    var waitingWeight = 0
        private set

    /** When a ticket of the class last started, or when its first ticket began to wait if that was later. */
    var servedAtMillis = 0L
        private set

    fun waitingOf(customer: CustomerId): Int = flows[customer]?.waitingCount ?: 0

    fun add(ticket: QueueTicket, nowMillis: Long) {
        if (waitingCount == 0) servedAtMillis = nowMillis
        val flow = flows.getOrPut(ticket.customer) { CustomerFlow(ticket.customer, ticket.weight) }
        if (flow.waitingCount == 0) {
            flow.weight = ticket.weight
            flow.startTag = maxOf(flow.startTag, virtualMillis)
            addBacklogged(flow)
        }
        flow.add(ticket)
        waitingCount++
    }

    /** Takes the next ticket of the customer that is furthest behind its share, and charges it [chargeMillis]. */
    fun takeNext(chargeMillis: Double, nowMillis: Long): QueueTicket {
        val flow = checkNotNull(backlogged.first())
        removeBacklogged(flow)
        val ticket = flow.takeFirst()
        waitingCount--
        servedAtMillis = nowMillis
        virtualMillis = maxOf(virtualMillis, flow.startTag)
        flow.startTag += chargeMillis / flow.weight
        reinsertOrReset(flow)
        return ticket
    }

    /** Adds [differenceMillis] of service, which may be negative, to what [takeNext] charged [customer]. */
    fun correct(customer: CustomerId, differenceMillis: Double) {
        val flow = flows[customer] ?: return
        val isBacklogged = flow.waitingCount > 0
        if (isBacklogged) backlogged.remove(flow)
        flow.startTag = maxOf(virtualMillis, flow.startTag + differenceMillis / flow.weight)
        if (isBacklogged) backlogged.add(flow)
    }

    fun remove(ticket: QueueTicket) {
        val flow = checkNotNull(flows[ticket.customer]) { "customer ${ticket.customer} has no waiting ticket" }
        removeBacklogged(flow)
        check(flow.remove(ticket.id)) { "ticket ${ticket.id} is not waiting" }
        waitingCount--
        reinsertOrReset(flow)
    }

    /** The flow with the most waiting tickets per unit of weight, or null when no ticket waits. */
    fun longestFlow(): CustomerFlow? = backlogged.maxByOrNull { it.weightedLength }

    private fun addBacklogged(flow: CustomerFlow) {
        backlogged.add(flow)
        waitingWeight += flow.weight
    }

    private fun removeBacklogged(flow: CustomerFlow) {
        backlogged.remove(flow)
        waitingWeight -= flow.weight
    }

    private fun reinsertOrReset(flow: CustomerFlow) {
        if (flow.waitingCount > 0) addBacklogged(flow)
        // When no ticket waits, no customer is owed service: shares are reset, and idle customers use no memory.
        if (waitingCount == 0) {
            flows.clear()
            virtualMillis = 0.0
        }
    }
}
