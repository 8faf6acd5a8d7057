package dev.cardamomlane.core.queue

import dev.cardamomlane.core.CustomerId
import java.util.TreeSet

/**
 * The waiting tickets of one class, by start-time fair queueing among customers.
 *
 * Virtual time is counted in milliseconds of service for each unit of weight. A flow is charged an estimate at the
 * start of a ticket and the difference to the measured service time at its end.
 */
internal class ClassQueue {
    private val flows = HashMap<CustomerId, CustomerFlow>()
    private val backlogged = TreeSet<CustomerFlow>()
    private var virtualMillis = 0.0

    var waitingCount = 0
        private set

    /** The sum of the weights of the customers that wait. */
    var waitingWeight = 0
        private set

    /** When the class last started a ticket or began to wait. */
    var servedAtMillis = 0L
        private set

    fun waitingOf(customer: CustomerId): Int = flows[customer]?.waitingCount ?: 0

    fun add(ticket: QueueTicket, nowMillis: Long) {
        if (waitingCount == 0) servedAtMillis = nowMillis
        val flow = flows.getOrPut(ticket.customer) { CustomerFlow(ticket.customer, ticket.weight) }
        if (flow.waitingCount == 0) {
            flow.weight = ticket.weight
            flow.startTag = maxOf(flow.startTag, virtualMillis)
            enter(flow)
        }
        flow.add(ticket)
        waitingCount++
    }

    /** Takes the ticket whose customer is furthest behind its share. */
    fun takeNext(chargeMillis: Double, nowMillis: Long): QueueTicket {
        val flow = checkNotNull(backlogged.first())
        leave(flow)
        val ticket = flow.takeFirst()
        waitingCount--
        servedAtMillis = nowMillis
        virtualMillis = maxOf(virtualMillis, flow.startTag)
        flow.startTag += chargeMillis / flow.weight
        settle(flow)
        return ticket
    }

    /** Corrects what [takeNext] charged to [customer] by [differenceMillis] of service. */
    fun correct(customer: CustomerId, differenceMillis: Double) {
        val flow = flows[customer] ?: return
        val waits = flow.waitingCount > 0
        if (waits) backlogged.remove(flow)
        flow.startTag = maxOf(virtualMillis, flow.startTag + differenceMillis / flow.weight)
        if (waits) backlogged.add(flow)
    }

    fun remove(ticket: QueueTicket) {
        val flow = checkNotNull(flows[ticket.customer]) { "customer ${ticket.customer} does not wait" }
        leave(flow)
        check(flow.remove(ticket.id)) { "ticket ${ticket.id} does not wait" }
        waitingCount--
        settle(flow)
    }

    /** The customer with the most waiting tickets for its weight. */
    fun longestFlow(): CustomerFlow? = backlogged.maxByOrNull { it.weightedLength }

    private fun enter(flow: CustomerFlow) {
        backlogged.add(flow)
        waitingWeight += flow.weight
    }

    private fun leave(flow: CustomerFlow) {
        backlogged.remove(flow)
        waitingWeight -= flow.weight
    }

    private fun settle(flow: CustomerFlow) {
        if (flow.waitingCount > 0) enter(flow)
        // An empty line has served every claim, so shares start afresh and idle customers cost nothing.
        if (waitingCount == 0) {
            flows.clear()
            virtualMillis = 0.0
        }
    }
}
