package dev.cardamomlane.bench.jmh

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.queue.AdaptiveLimit
import dev.cardamomlane.core.queue.Dispatch
import dev.cardamomlane.core.queue.FairSlotQueue
import dev.cardamomlane.core.queue.QueueTicket
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import java.util.concurrent.TimeUnit

/** One arrival and one end in a queue with a constant number of waiting tickets. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public open class QueueBenchmark {
    /** The number of waiting tickets. */
    @Param("8", "1000")
    public var waitingCount: Int = 8

    private val customers = List(8) { CustomerId("customer-$it") }
    private lateinit var queue: FairSlotQueue
    private val running = ArrayDeque<Long>()
    private var nextId = 0L

    /** Fills the slots and the queue. */
    @Setup
    public fun fill() {
        queue = FairSlotQueue(AdaptiveLimit(SLOTS), maxWaiting = 2_000, maxWaitingPerCustomer = 2_000)
        repeat(SLOTS) { running.addLast(nextId.also { offer() }) }
        repeat(waitingCount) { offer() }
    }

    /** Offers a ticket, ends the oldest running one and starts the next. */
    @Benchmark
    public fun schedule(): Dispatch {
        offer()
        val dispatch = queue.finished(running.removeFirst(), serviceMillis = 1.0, nowMillis = nextId)
        dispatch.started.forEach { running.addLast(it.id) }
        return dispatch
    }

    private fun offer() {
        val id = nextId++
        val customer = customers[(id % customers.size).toInt()]
        val priorityClass = 1 + (id % 3).toInt()
        queue.offer(QueueTicket(id, customer, weight = 1, priorityClass, deadlineMillis = id + 1_000_000), id)
    }

    private companion object {
        const val SLOTS = 5
    }
}
