package dev.cardamomlane.core.queue

import dev.cardamomlane.core.CustomerId
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import kotlin.math.abs
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Properties of [FairSlotQueue] under random tickets from fixed seeds. */
class SlotQueuePropertyTest {
    @Property(tries = 200, seed = "20262")
    fun `no slot is free while a ticket waits`(@ForAll("steps") steps: List<Int>) {
        val run = SlotQueueRun(FairSlotQueue(FixedLimit(3), maxWaiting = 20, maxWaitingPerCustomer = 8))
        for (step in steps) {
            run.step(step)
            assertTrue(
                run.queue.waitingCount == 0 || run.queue.runningCount == 3,
                "a slot is free while a ticket waits",
            )
            assertTrue(run.queue.runningCount <= 3 && run.queue.waitingCount <= 20, "too many tickets run or wait")
        }
        run.drain()
        assertEquals(run.offered, run.started + run.refused + run.expired + run.displaced, "every ticket ends once")
    }

    @Property(tries = 60, seed = "20263")
    fun `the least urgent class starts within a bounded number of starts`(
        @ForAll @IntRange(min = 1, max = 8) urgentClass: Int,
        @ForAll @IntRange(min = 2, max = 12) agedStartEvery: Int,
    ) {
        val queue = FairSlotQueue(FixedLimit(1), agingMillis = 10, agedStartEvery = agedStartEvery)
        var nextId = 0L
        queue.offer(ticket(nextId++, "a", urgentClass), nowMillis = 0)
        repeat(2) { queue.offer(ticket(nextId++, "a", urgentClass), nowMillis = 0) }
        val last = ticket(nextId++, "b", priorityClass = 9)
        queue.offer(last, nowMillis = 0)
        var running = 0L
        var starts = 0
        while (running != last.id) {
            starts++
            val nowMillis = starts * 10L
            running = queue.finished(running, serviceMillis = 10.0, nowMillis).started.single().id
            queue.offer(ticket(nextId++, "a", urgentClass), nowMillis)
            assertTrue(starts <= agedStartEvery + 1, "class 9 did not start in $starts starts")
        }
    }

    @Property(tries = 60, seed = "20264")
    fun `customers that always wait get service time by weight`(
        @ForAll @IntRange(min = 1, max = 5) weight: Int,
        @ForAll @IntRange(min = 1, max = 50) serviceMillis: Int,
        @ForAll @IntRange(min = 1, max = 50) otherServiceMillis: Int,
    ) {
        val queue = FairSlotQueue(FixedLimit(1), maxWaitingPerCustomer = 1_000)
        val service = mapOf("a" to serviceMillis.toDouble(), "b" to otherServiceMillis.toDouble())
        var nextId = 0L
        repeat(800) { queue.offer(ticket(nextId++, "a", weight = weight), nowMillis = 0) }
        repeat(800) { queue.offer(ticket(nextId++, "b"), nowMillis = 0) }
        val used = HashMap<String, Double>()
        var running = queue.finished(id = 0, serviceMillis = 1.0, nowMillis = 0).started.single()
        while (used.values.sum() < 400 * minOf(serviceMillis, otherServiceMillis)) {
            val customer = running.customer.value
            used.merge(customer, service.getValue(customer), Double::plus)
            running = queue.finished(running.id, service.getValue(customer), nowMillis = 0).started.single()
        }
        val gapMillis = abs(used.getValue("a") / weight - used.getValue("b"))
        assertTrue(gapMillis <= 3 * maxOf(serviceMillis, otherServiceMillis), "used $used with weight $weight")
    }

    @Provide
    fun steps(): Arbitrary<List<Int>> = Arbitraries.integers().between(0, 999).list().ofMaxSize(150)

    private fun ticket(id: Long, customer: String, priorityClass: Int = 5, weight: Int = 1): QueueTicket =
        QueueTicket(id, CustomerId(customer), weight, priorityClass, deadlineMillis = 1_000_000)
}
