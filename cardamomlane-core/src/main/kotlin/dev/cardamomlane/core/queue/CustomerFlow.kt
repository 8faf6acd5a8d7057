package dev.cardamomlane.core.queue

import dev.cardamomlane.core.CustomerId

/** The waiting tickets of one customer in one priority class, in order of arrival. */
internal class CustomerFlow(val customer: CustomerId, var weight: Int) : Comparable<CustomerFlow> {
    /** The virtual time at which the next ticket of this flow starts. */
    var startTag = 0.0

    private val tickets = LinkedHashMap<Long, QueueTicket>()

    val waitingCount: Int
        get() = tickets.size

    /** The number of waiting tickets per unit of weight. */
    val weightedLength: Double
        get() = tickets.size.toDouble() / weight

    fun add(ticket: QueueTicket) {
        tickets[ticket.id] = ticket
    }

    fun remove(id: Long): Boolean = tickets.remove(id) != null

    fun takeFirst(): QueueTicket {
        val iterator = tickets.values.iterator()
        return iterator.next().also { iterator.remove() }
    }

    fun newest(): QueueTicket = tickets.values.last()

    override fun compareTo(other: CustomerFlow): Int {
        val byTag = startTag.compareTo(other.startTag)
        return if (byTag != 0) byTag else customer.compareTo(other.customer)
    }
}
