package dev.cardamomlane.core.queue

import dev.cardamomlane.core.CustomerId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

class FairSlotQueueTest {
    private var nextId = 0L

    @Test
    fun `runs as many tickets as the limit allows and queues the rest`() {
        val queue = queue(limit = 2)

        val results = List(3) { queue.offer(ticket("a"), nowMillis = 0) }

        assertEquals(listOf(OfferResult.Run, OfferResult.Run, OfferResult.Queued()), results)
    }

    @Test
    fun `starts the more urgent class first`() {
        val queue = busyQueue()
        queue.offer(ticket("a", priorityClass = 3), nowMillis = 0)
        val urgent = ticket("b", priorityClass = 1)
        queue.offer(urgent, nowMillis = 0)

        assertEquals(listOf(urgent), queue.finished(BUSY_ID, serviceMillis = 10.0, nowMillis = 10).started)
    }

    @Test
    fun `starts customers of one class in turn however many tickets they have waiting`() {
        val queue = busyQueue()
        repeat(10) { queue.offer(ticket("noisy"), nowMillis = 0) }
        repeat(2) { queue.offer(ticket("quiet"), nowMillis = 0) }

        assertEquals(listOf("noisy", "quiet", "noisy", "quiet"), drain(queue, starts = 4).map { it.customer.value })
    }

    @Test
    fun `charges a customer for the service time it used`() {
        val queue = busyQueue()
        repeat(10) { queue.offer(ticket("long"), nowMillis = 0) }
        repeat(10) { queue.offer(ticket("short"), nowMillis = 0) }

        val started = drain(queue, starts = 11) { if (it.customer.value == "long") 90.0 else 10.0 }

        assertEquals(9, started.count { it.customer.value == "short" })
    }

    @Test
    fun `a class that has waited too long gets one of eight starts`() {
        val queue = busyQueue(agingMillis = 50)
        repeat(40) { queue.offer(ticket("a", priorityClass = 1), nowMillis = 0) }
        repeat(5) { queue.offer(ticket("b", priorityClass = 9), nowMillis = 0) }

        assertEquals(4, drain(queue, starts = 32).count { it.priorityClass == 9 })
    }

    @Test
    fun `refuses at once a ticket that is not expected to start by its deadline`() {
        val queue = busyQueue()
        queue.offer(ticket("a"), nowMillis = 0)
        queue.finished(BUSY_ID, serviceMillis = 10.0, nowMillis = 10)
        repeat(5) { queue.offer(ticket("a"), nowMillis = 10) }

        val result = queue.offer(ticket("a", deadlineMillis = 50), nowMillis = 10)

        assertEquals(OfferResult.Refused(QueueRefusal.DEADLINE, retryAfterMillis = 20), result)
    }

    @Test
    fun `a customer with few waiting tickets is not refused because another has many`() {
        val queue = busyQueue()
        queue.offer(ticket("noisy"), nowMillis = 0)
        queue.finished(BUSY_ID, serviceMillis = 10.0, nowMillis = 10)
        repeat(50) { queue.offer(ticket("noisy"), nowMillis = 10) }

        assertIs<OfferResult.Queued>(queue.offer(ticket("quiet", deadlineMillis = 50), nowMillis = 10))
    }

    @Test
    fun `expires tickets after their deadline`() {
        val queue = busyQueue()
        val late = ticket("a", deadlineMillis = 30)
        queue.offer(late, nowMillis = 0)

        assertEquals(30, queue.nextDeadlineMillis)
        assertEquals(Dispatch(), queue.poll(nowMillis = 30))
        assertEquals(listOf(late), queue.poll(nowMillis = 31).expired)
        assertEquals(0, queue.waitingCount)
    }

    @Test
    fun `limits the waiting tickets of one customer`() {
        val queue = busyQueue(maxWaitingPerCustomer = 2)
        repeat(2) { queue.offer(ticket("a", priorityClass = it + 1), nowMillis = 0) }

        val result = assertIs<OfferResult.Refused>(queue.offer(ticket("a"), nowMillis = 0))

        assertEquals(QueueRefusal.CUSTOMER_FULL, result.reason)
    }

    @Test
    fun `a full queue displaces less urgent tickets and those of customers with more waiting tickets`() {
        val queue = busyQueue(maxWaiting = 3)
        val lessUrgent = ticket("a", priorityClass = 5)
        queue.offer(lessUrgent, nowMillis = 0)
        val longFlow = List(2) { ticket("a", priorityClass = 2) }.onEach { queue.offer(it, nowMillis = 0) }

        assertEquals(OfferResult.Queued(lessUrgent), queue.offer(ticket("b", priorityClass = 2), nowMillis = 0))
        assertEquals(OfferResult.Queued(longFlow.last()), queue.offer(ticket("c", priorityClass = 2), nowMillis = 0))
        val refused = assertIs<OfferResult.Refused>(queue.offer(ticket("b", priorityClass = 2), nowMillis = 0))
        assertEquals(QueueRefusal.QUEUE_FULL, refused.reason)
    }

    @Test
    fun `a cancelled ticket never starts`() {
        val queue = busyQueue()
        val cancelled = ticket("a")
        queue.offer(cancelled, nowMillis = 0)

        assertTrue(queue.cancel(cancelled.id))
        assertFalse(queue.cancel(cancelled.id))
        assertEquals(Dispatch(), queue.finished(BUSY_ID, serviceMillis = 1.0, nowMillis = 1))
    }

    @Test
    fun `rejects a ticket offered twice and the end of one that is not running`() {
        val queue = busyQueue()

        assertFailsWith<IllegalArgumentException> { queue.offer(ticket("a", id = BUSY_ID), nowMillis = 0) }
        assertFailsWith<IllegalStateException> { queue.finished(id = 77, serviceMillis = 1.0, nowMillis = 0) }
    }

    private fun queue(limit: Int): SlotQueue = FairSlotQueue(FixedLimit(limit))

    /** A queue whose only slot is held by the ticket [BUSY_ID]. */
    private fun busyQueue(
        maxWaiting: Int = 100,
        maxWaitingPerCustomer: Int = 100,
        agingMillis: Long = 1_000,
    ): SlotQueue {
        val queue = FairSlotQueue(FixedLimit(1), maxWaiting, maxWaitingPerCustomer, agingMillis)
        queue.offer(ticket("busy", id = BUSY_ID), nowMillis = 0)
        return queue
    }

    private fun drain(
        queue: SlotQueue,
        starts: Int,
        serviceMillis: (QueueTicket) -> Double = {
            10.0
        },
    ): List<QueueTicket> {
        var nowMillis = 10L
        var ticket = queue.finished(BUSY_ID, serviceMillis = 10.0, nowMillis).started.single()
        val started = mutableListOf(ticket)
        while (started.size < starts) {
            nowMillis += serviceMillis(ticket).toLong()
            ticket = queue.finished(ticket.id, serviceMillis(ticket), nowMillis).started.single()
            started += ticket
        }
        return started
    }

    private fun ticket(
        customer: String,
        priorityClass: Int = 5,
        deadlineMillis: Long = 60_000,
        id: Long = nextId++,
    ): QueueTicket = QueueTicket(id, CustomerId(customer), weight = 1, priorityClass, deadlineMillis)

    private companion object {
        const val BUSY_ID = 1_000_000L
    }
}
