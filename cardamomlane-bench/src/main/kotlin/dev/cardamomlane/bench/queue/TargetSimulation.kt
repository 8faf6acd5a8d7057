package dev.cardamomlane.bench.queue

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.queue.OfferResult
import dev.cardamomlane.core.queue.QueueTicket
import dev.cardamomlane.core.queue.SlotQueue
import org.HdrHistogram.Histogram
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Discrete-event simulation of several hosts in front of one target.
 *
 * The target runs [slots] statements at once and queues the others in order of arrival. Service times are distributed
 * exponentially.
 *
 * @param hosts the queue of each host
 * @param hostWeights the weight of each host when the host of a statement is drawn
 */
internal class TargetSimulation(
    private val hosts: List<SlotQueue>,
    private val hostWeights: List<Double>,
    private val customers: List<SimulatedCustomer>,
    private val slots: Int = 5,
    private val meanServiceMicros: Double = 5_000.0,
    private val deadlineMillis: Long = 2_000,
) {
    private val events = PriorityQueue(compareBy<Event>({ it.atMicros }, { it.order }))
    private val openStatements = HashMap<Long, SimulatedStatement>()
    private val targetQueue = ArrayDeque<SimulatedStatement>()
    private val latencies = customers.associate { it.name to Histogram(3) }
    private val refusals = HashMap<String, Int>()
    private var busySlots = 0
    private var nextOrder = 0L
    private var nowMicros = 0L

    fun run(seed: Int, seconds: Int): SimulationResult {
        customers.forEachIndexed { index, customer ->
            scheduleArrivals(
                customer,
                Random(seed * 100 + index),
                seconds * 1_000_000L,
            )
        }
        while (true) {
            val event = events.poll() ?: break
            nowMicros = event.atMicros
            event.action()
        }
        return SimulationResult(latencies, refusals)
    }

    private fun scheduleArrivals(customer: SimulatedCustomer, random: Random, endMicros: Long) {
        val bucket = customer.admittedPerSecond?.let { TokenBucket(it, burst = it * BURST_SECONDS) }
        var atMicros = 0.0
        while (true) {
            atMicros += exponential(random, 1e6 / customer.ratePerSecond)
            if (atMicros >= endMicros) return
            if (bucket?.take(atMicros) == false) continue
            val statement =
                SimulatedStatement(
                    customer,
                    drawHost(random),
                    atMicros.toLong(),
                    exponential(random, meanServiceMicros).toLong(),
                )
            scheduleAt(statement.arrivalMicros) { offer(statement) }
        }
    }

    private fun offer(statement: SimulatedStatement) {
        val id = nextOrder++
        openStatements[id] = statement.also { it.id = id }
        val ticket =
            QueueTicket(
                id,
                CustomerId(statement.customer.name),
                statement.customer.weight,
                statement.customer.priorityClass,
                deadlineMillis = nowMicros / 1_000 + deadlineMillis,
            )
        when (val result = hosts[statement.host].offer(ticket, nowMicros / 1_000)) {
            OfferResult.Run -> sendToTarget(statement)
            is OfferResult.Queued -> result.displaced?.let { refuse(it.id) }
            is OfferResult.Refused -> refuse(id)
        }
    }

    private fun sendToTarget(statement: SimulatedStatement) {
        statement.sentMicros = nowMicros
        if (busySlots < slots) startService(statement) else targetQueue.addLast(statement)
    }

    private fun startService(statement: SimulatedStatement) {
        busySlots++
        scheduleAt(nowMicros + statement.serviceMicros) { finishService(statement) }
    }

    private fun finishService(statement: SimulatedStatement) {
        busySlots--
        targetQueue.removeFirstOrNull()?.let(::startService)
        latencies.getValue(statement.customer.name).recordValue(nowMicros - statement.arrivalMicros)
        openStatements.remove(statement.id)
        val serviceMillis = (nowMicros - statement.sentMicros) / 1_000.0
        val dispatch = hosts[statement.host].finished(statement.id, serviceMillis, nowMicros / 1_000)
        dispatch.expired.forEach { refuse(it.id) }
        dispatch.started.forEach { sendToTarget(openStatements.getValue(it.id)) }
    }

    private fun refuse(id: Long) {
        val statement = checkNotNull(openStatements.remove(id))
        refusals.merge(statement.customer.name, 1, Int::plus)
    }

    private fun drawHost(random: Random): Int {
        var left = random.nextDouble() * hostWeights.sum()
        return hostWeights.indices.first { index ->
            left -= hostWeights[index]
            left <= 0 || index == hostWeights.lastIndex
        }
    }

    private fun exponential(random: Random, mean: Double): Double = -mean * ln(1 - random.nextDouble())

    private fun scheduleAt(atMicros: Long, action: () -> Unit) {
        events.add(Event(atMicros, nextOrder++, action))
    }

    private class TokenBucket(private val ratePerSecond: Double, private val burst: Double) {
        private var tokens = burst
        private var filledMicros = 0.0

        fun take(nowMicros: Double): Boolean {
            tokens = minOf(burst, tokens + (nowMicros - filledMicros) * ratePerSecond / 1e6)
            filledMicros = nowMicros
            if (tokens < 1) return false
            tokens--
            return true
        }
    }

    private class Event(val atMicros: Long, val order: Long, val action: () -> Unit)

    private class SimulatedStatement(
        val customer: SimulatedCustomer,
        val host: Int,
        val arrivalMicros: Long,
        val serviceMicros: Long,
    ) {
        var id = -1L
        var sentMicros = 0L
    }

    private companion object {
        const val BURST_SECONDS = 2
    }
}
