package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * One member that serves one customer, in simulated time. Requests arrive at random; one that has to wait for a token
 * is tried again within a fifth of its goal, as the engine does.
 *
 * @param hasUrgency false to admit in the order of arrival
 * @param retryCount how often a caller sends a refused request again
 */
internal class RateSimulation(
    private val allowance: Allowance,
    private val hasUrgency: Boolean,
    private val retryCount: Int = 0,
    seed: Int = 1,
) {
    private class Request(val priority: Int, val arrivedAtMillis: Long, val retriesLeft: Int, val isFirst: Boolean)

    private class Event(val atMillis: Long, val order: Long, val request: Request)

    private val customer = CustomerId("press")
    private val limiter = DemandShareLimiter(0, DemandShareLimiter.PLACED_BASE_FRACTION)
    private val admission = PriorityAdmission()
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.order }))
    private var eventCount = 0L

    /** Operations by priority: those offered, without retries, and those served. */
    val offered = LongArray(GOAL_MILLIS.size)
    val served = LongArray(GOAL_MILLIS.size)
    val servedAtMillis = ArrayList<Pair<Int, Long>>()
    val refusals = ArrayList<Pair<Int, RefusalReason>>()
    var nowMillis = 0L
        private set

    /** Lets [millis] pass while requests of each priority arrive at the given rates. */
    fun run(millis: Long, vararg perSecond: Double) {
        repeat(millis.toInt()) {
            nowMillis++
            if (nowMillis % REPORT_MILLIS == 0L) limiter.report(1, nowMillis)
            while (events.isNotEmpty() && events.peek().atMillis <= nowMillis) request(events.poll().request)
            for ((priority, rate) in perSecond.withIndex()) {
                var left = rate / MILLIS_PER_SECOND
                while (left > 0) {
                    if (random.nextDouble() < minOf(left, 1.0)) arrive(priority)
                    left--
                }
            }
        }
    }

    /** Forgets what was counted so far. */
    fun resetCounts() {
        offered.fill(0)
        served.fill(0)
        servedAtMillis.clear()
        refusals.clear()
    }

    fun servedFraction(priority: Int): Double = served[priority].toDouble() / maxOf(1, offered[priority])

    private fun arrive(priority: Int) {
        offered[priority]++
        request(Request(priority, nowMillis, retryCount, isFirst = true))
    }

    private fun request(request: Request) {
        val admitted = decide(request)
        if (admitted !is Admission.Refused) {
            served[request.priority]++
            servedAtMillis += request.priority to nowMillis
            return
        }
        val waitedMillis = nowMillis - request.arrivedAtMillis
        val maxWaitMillis = GOAL_MILLIS[request.priority] / WAIT_DIVISOR
        val mayWait = waitedMillis + admitted.retryAfterMillis <= maxWaitMillis
        if (admitted.reason == RefusalReason.OVER_RATE && mayWait) {
            val again = Request(request.priority, request.arrivedAtMillis, request.retriesLeft, isFirst = false)
            return schedule(again, maxOf(1, admitted.retryAfterMillis))
        }
        refusals += request.priority to admitted.reason
        if (request.retriesLeft == 0) return
        val dueMillis = nowMillis + maxOf(1, admitted.retryAfterMillis)
        schedule(Request(request.priority, dueMillis, request.retriesLeft - 1, isFirst = true), dueMillis - nowMillis)
    }

    private fun decide(request: Request): Admission {
        if (!request.isFirst) return limiter.admitAgain(customer, allowance, 1, nowMillis)
        if (!hasUrgency) return limiter.admit(customer, allowance, 1, nowMillis)
        val budget = limiter.onRequest(customer, allowance, 1, nowMillis)
        val decision = admission.decide(request.priority, budget, nowMillis)
        return if (decision is Admission.Refused) decision else limiter.admitAgain(customer, allowance, 1, nowMillis)
    }

    private fun schedule(request: Request, afterMillis: Long) {
        events += Event(nowMillis + afterMillis, eventCount++, request)
    }

    private companion object {
        val GOAL_MILLIS = longArrayOf(101, 201, 601)
        const val WAIT_DIVISOR = 5
        const val REPORT_MILLIS = 250L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
