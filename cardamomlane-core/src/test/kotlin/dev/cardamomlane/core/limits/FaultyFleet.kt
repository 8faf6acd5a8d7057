package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.fleet.MemberId
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import java.util.PriorityQueue
import kotlin.random.Random

/** A defect that is built into a run to show that the check detects it. */
public enum class Defect { NONE, LENDER_KEEPS_SHARE, STANDING_NOT_TESTED, LOAN_OUTLASTS_TERM }

/**
 * A simulation of several hosts with a [ShareLendingLimiter] each. The network loses, delays and duplicates messages,
 * hosts pause, their clocks run at different rates, and one member is excluded while another joins. Requests come in
 * bursts on all hosts at once and take every token that they can get.
 */
internal class FaultyFleet(seed: Long, private val limit: Allowance, private val defect: Defect) {
    private val random = Random(seed)
    private val customer = CustomerId("club")
    private val queue = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.order }))
    private var order = 0
    private var trueMillis = 0L
    private val hosts = List(random.nextInt(2, 7)) { SimHost(MemberId(HostId("host-$it"), incarnation = 1)) }
    private val admittedAtMillis = ArrayList<Long>()
    private val burstsMillis = generateSequence(1_000L) { it + random.nextLong(250, 1_500) }
        .takeWhile { it < RUN_MILLIS }.toList()

    /** Simulates twelve seconds and returns the true times of all admitted requests. */
    fun run(): List<Long> {
        val old = basis(hosts.dropLast(1))
        val excluded = hosts.first()
        val new = basis(hosts.drop(1))
        hosts.forEach { it.install(listOf(old)) }
        scheduleChange(old, new, excluded)
        hosts.forEach { host -> scheduleLoad(host) }
        while (queue.isNotEmpty()) {
            val event = queue.poll()
            trueMillis = event.atMillis
            if (trueMillis > RUN_MILLIS) break
            event.action()
        }
        return admittedAtMillis
    }

    private fun scheduleChange(old: ShareBasis, new: ShareBasis, excluded: SimHost) {
        val changeMillis = random.nextLong(2_000, 4_000)
        val settledMillis = changeMillis + SETTLE_MILLIS
        at(changeMillis + random.nextLong(STANDING_MILLIS)) { excluded.inStanding = false }
        for (host in hosts - excluded) {
            at(changeMillis + random.nextLong(STANDING_MILLIS)) { host.install(listOf(old, new)) }
            at(settledMillis + random.nextLong(STANDING_MILLIS)) { host.install(listOf(new)) }
        }
    }

    /**
     * Schedules bursts on all hosts at once, each after a time without requests in which buckets fill, and pauses that
     * end with a burst.
     */
    private fun scheduleLoad(host: SimHost) {
        for (tickMillis in 0L until RUN_MILLIS step 100) at(tickMillis) { host.tick() }
        for (burstMillis in burstsMillis) {
            repeat(limit.burst.toInt() * 2) { at(burstMillis + random.nextLong(8)) { host.request() } }
        }
        var atMillis = 0L
        val meanMillis = 1_000 / (limit.ratePerSecond * random.nextDouble(0.1, 2.0))
        while (atMillis < RUN_MILLIS) {
            atMillis += (random.nextDouble() * 2 * meanMillis).toLong() + 1
            if (random.nextInt(100) == 0) atMillis += random.nextLong(2_000)
            if (burstsMillis.none { atMillis in it - QUIET_MILLIS until it }) at(atMillis) { host.request() }
        }
        repeat(random.nextInt(4)) {
            val first = random.nextInt(burstsMillis.size - 1)
            val last = random.nextInt(first + 1, burstsMillis.size)
            host.pause(burstsMillis[first] - random.nextLong(QUIET_MILLIS), burstsMillis[last])
        }
    }

    private fun basis(members: List<SimHost>) =
        ShareBasis(members.map { it.id }.toImmutableList(), persistentMapOf(customer to limit))

    private fun at(millis: Long, action: () -> Unit) {
        queue.add(Event(millis, order++, action))
    }

    private fun transmit(from: SimHost, to: MemberId, message: ShareMessage) {
        val receiver = hosts.first { it.id == to }
        if (random.nextInt(10) == 0) return
        val copies = if (random.nextInt(5) == 0) 2 else 1
        repeat(copies) {
            val delayMillis = if (random.nextInt(5) == 0) random.nextLong(3_000) else random.nextLong(5)
            at(trueMillis + delayMillis) { receiver.receive(from, message) }
        }
        if (defect == Defect.LENDER_KEEPS_SHARE && message is ShareMessage.LoanGrant) {
            at(trueMillis) { from.receive(receiver, ShareMessage.LoanReturn(customer, message.sequence, tokens = 0.0)) }
        }
    }

    private inner class SimHost(val id: MemberId) {
        private val clockRate = 1 + random.nextDouble(-CLOCK_RATE_ERROR, CLOCK_RATE_ERROR)
        private val clockOffset = random.nextLong(1_000_000)
        private val limiter = ShareLendingLimiter(id, { to, message -> transmit(this, to, message) })
        private var pausedUntilMillis = 0L
        var inStanding = true

        private fun now() = clockOffset + (trueMillis * clockRate).toLong()

        fun install(bases: List<ShareBasis>) = limiter.install(ShareTable(bases.toImmutableList()), now())

        fun pause(startMillis: Long, endMillis: Long) = at(startMillis) { pausedUntilMillis = endMillis }

        fun tick() {
            if (trueMillis >= pausedUntilMillis) limiter.tick(now())
        }

        fun receive(from: SimHost, message: ShareMessage) = afterPause {
            val seen = if (defect == Defect.LOAN_OUTLASTS_TERM && message is ShareMessage.LoanGrant) {
                message.copy(termMillis = message.termMillis * 4)
            } else {
                message
            }
            limiter.onMessage(from.id, seen, isServing(), now())
        }

        fun request() = afterPause {
            if (limiter.admit(customer, isServing(), now()) == Admission.Admitted) admittedAtMillis += trueMillis
        }

        private fun isServing() = inStanding || defect == Defect.STANDING_NOT_TESTED

        private fun afterPause(action: () -> Unit) {
            if (trueMillis < pausedUntilMillis) at(pausedUntilMillis) { afterPause(action) } else action()
        }
    }

    private class Event(val atMillis: Long, val order: Int, val action: () -> Unit)

    companion object {
        const val RUN_MILLIS = 12_000L
        const val CLOCK_RATE_ERROR = 0.01
        private const val QUIET_MILLIS = 150L
        private const val STANDING_MILLIS = 2_500L

        /** Must exceed [STANDING_MILLIS]: by then no host that does not know of the change is in good standing. */
        private const val SETTLE_MILLIS = 3_500L
    }
}
