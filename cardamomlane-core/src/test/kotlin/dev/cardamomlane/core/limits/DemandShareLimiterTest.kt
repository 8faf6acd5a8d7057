package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.HostId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Applies patterns of load to several hosts that report their demand to each other every 250 ms. Reports arrive with a
 * delay, and one in a hundred is lost.
 */
class DemandShareLimiterTest {
    private val customer = CustomerId("press")
    private val allowance = Allowance(ratePerSecond = 80.0, burst = 80.0)

    private class Message(
        val dueAtMillis: Long,
        val from: Int,
        val incarnation: Long,
        val to: Int,
        val usages: Map<CustomerId, CustomerUsage>,
    )

    private data class Waiting(val atMillis: Long, val host: Int, val requestedAtMillis: Long)

    private inner class Fleet(
        private val hostCount: Int,
        seed: Int = 1,
        private val allowance: Allowance = this@DemandShareLimiterTest.allowance,
        private val baseFraction: Double = DemandShareLimiter.BASE_FRACTION,
    ) {
        private val random = Random(seed)
        private val shares = Array(hostCount) { limiter(startedAtMillis = 0) }
        private val waiting = ArrayList<Waiting>()
        private val reportedAtMillis = LongArray(hostCount)
        private val incarnations = LongArray(hostCount)
        private val downHosts = HashSet<Int>()
        private val pending = ArrayList<Message>()
        private val receivedAtMillis = HashMap<Pair<Int, Int>, Long>()
        var nowMillis = 0L
            private set

        /** True while no reports pass between the hosts with even numbers and those with odd numbers. */
        var isPartitioned = false
        val admittedAtMillis = ArrayList<Long>()
        var refusedCount = 0
        var requestCount = 0

        /** How many requests a single bucket for all hosts would have refused. */
        var refusedBySingleBucketCount = 0
            private set
        private var singleBucketTokens = allowance.burst
        private var singleBucketFilledAtMillis = 0L

        private fun limiter(startedAtMillis: Long) = DemandShareLimiter(startedAtMillis, baseFraction)

        fun kill(host: Int) {
            downHosts += host
        }

        fun restart(host: Int) {
            shares[host] = limiter(startedAtMillis = nowMillis)
            incarnations[host]++
            downHosts -= host
        }

        /** Lets [millis] pass while the customer sends requests to each host at the given rate. */
        fun run(millis: Long, requestsPerSecond: (host: Int) -> Double) {
            repeat(millis.toInt()) {
                nowMillis++
                deliver()
                retryWaiting()
                for (host in 0 until hostCount) {
                    if (host in downHosts) continue
                    if ((nowMillis + host * 31) % REPORT_MILLIS == 0L) report(host)
                    if (random.nextDouble() * 1_000 < requestsPerSecond(host)) request(host)
                }
            }
        }

        private fun request(host: Int) {
            requestCount++
            requestFromSingleBucket()
            handleAdmission(host, nowMillis, shares[host].admit(customer, allowance, hostCount, nowMillis))
        }

        private fun requestFromSingleBucket() {
            val newTokens = (nowMillis - singleBucketFilledAtMillis) * allowance.ratePerSecond / 1_000
            singleBucketTokens = minOf(allowance.burst, singleBucketTokens + newTokens)
            singleBucketFilledAtMillis = nowMillis
            if (singleBucketTokens >= 1) singleBucketTokens-- else refusedBySingleBucketCount++
        }

        /** A refused request waits if its retry is due soon enough, and makes its host report early. */
        private fun handleAdmission(host: Int, requestedAtMillis: Long, admission: Admission) {
            if (admission is Admission.Refused) {
                if (nowMillis - reportedAtMillis[host] >= MIN_REPORT_INTERVAL_MILLIS) report(host)
                val retryAtMillis = nowMillis + admission.retryAfterMillis
                if (retryAtMillis - requestedAtMillis <=
                    MAX_WAIT_MILLIS
                ) {
                    waiting += Waiting(retryAtMillis, host, requestedAtMillis)
                } else {
                    refusedCount++
                }
            } else {
                admittedAtMillis += nowMillis
            }
        }

        private fun retryWaiting() {
            val due = waiting.filter { it.atMillis <= nowMillis }
            waiting.removeAll(due)
            for ((_, host, requestedAtMillis) in due) {
                if (host in downHosts) continue
                handleAdmission(
                    host,
                    requestedAtMillis,
                    shares[host].admitAgain(customer, allowance, hostCount, nowMillis),
                )
            }
        }

        private fun report(host: Int) {
            val alive = (0 until hostCount).filter { nowMillis - (receivedAtMillis[host to it] ?: -1_000) < 900 }
            shares[host].retainHosts(alive.mapTo(HashSet()) { HostId("h$it") })
            reportedAtMillis[host] = nowMillis
            val usages = shares[host].report(hostCount, nowMillis)
            for (other in 0 until hostCount) {
                if (other == host || random.nextInt(100) == 0) continue
                if (isPartitioned && host % 2 != other % 2) continue
                pending += Message(nowMillis + 1 + random.nextLong(3), host, incarnations[host], other, usages)
            }
        }

        private fun deliver() {
            val due = pending.filter { it.dueAtMillis <= nowMillis }
            pending.removeAll(due)
            for (message in due) {
                if (message.to in downHosts) continue
                receivedAtMillis[message.to to message.from] = nowMillis
                shares[message.to].onReport(HostId("h${message.from}"), message.incarnation, message.usages, nowMillis)
            }
        }

        /** The most requests admitted in any window of five seconds. */
        fun maxInWindow(): Int {
            var first = 0
            var most = 0
            for (last in admittedAtMillis.indices) {
                while (admittedAtMillis[last] - admittedAtMillis[first] >= WINDOW_MILLIS) first++
                most = maxOf(most, last - first + 1)
            }
            return most
        }
    }

    /** Rate times window plus burst, with the tolerance that operators state: a tenth and 20 requests. */
    private val bound = (80.0 * 5 + 80.0) * 1.1 + 20

    /** The usual demand is the rate divided by 1.6, spread unevenly: half of it at one of eight hosts. */
    private fun uneven(host: Int): Double = if (host == 0) 25.0 else 25.0 / 7

    @Test
    fun `a customer within its rate is refused almost nothing when its sessions are spread unevenly`() {
        val fleet = Fleet(hostCount = 8)
        fleet.run(2_000, ::uneven)
        val before = fleet.refusedCount

        fleet.run(20_000, ::uneven)

        assertTrue(fleet.refusedCount - before <= fleet.requestCount / 1_000, "${fleet.refusedCount - before} refused")
    }

    @Test
    fun `hosts whose first callers come after a while refuse almost nothing within the rate`() {
        val fleet = Fleet(hostCount = 8)
        fleet.run(3_000) { 0.0 }

        fleet.run(1_000, ::uneven)

        assertTrue(fleet.refusedCount <= 10, "${fleet.refusedCount} of ${fleet.requestCount} refused")
    }

    @Test
    fun `a customer with many times its rate in requests gets no more than its rate over all hosts`() {
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed)
            fleet.run(5_000, ::uneven)
            fleet.run(10_000) { uneven(it) * 7.5 }

            assertTrue(fleet.maxInWindow() <= bound, "seed $seed: ${fleet.maxInWindow()} in a window")
        }
    }

    @Test
    fun `a load peak that moves from host to host stays within the rate`() {
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed)
            repeat(20) { turn -> fleet.run(700) { if (it == turn % 8) 500.0 else 2.0 } }

            assertTrue(fleet.maxInWindow() <= bound, "seed $seed: ${fleet.maxInWindow()} in a window")
        }
    }

    @Test
    fun `hosts that are killed and restarted add no burst of their own`() {
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed)
            fleet.run(5_000) { uneven(it) * 7.5 }
            repeat(8) { host ->
                fleet.kill(host)
                fleet.run(400) { uneven(it) * 7.5 }
                fleet.restart(host)
                fleet.run(300) { uneven(it) * 7.5 }
            }

            assertTrue(fleet.maxInWindow() <= bound, "seed $seed: ${fleet.maxInWindow()} in a window")
        }
    }

    @Test
    fun `the other hosts take over the share of a killed host within two seconds`() {
        val fleet = Fleet(hostCount = 8)
        fleet.run(5_000, ::uneven)
        fleet.kill(0)
        val moved: (Int) -> Double = { if (it == 1) 25.0 else 25.0 / 7 }
        fleet.run(2_000, moved)
        val before = fleet.refusedCount

        fleet.run(10_000, moved)

        assertTrue(fleet.refusedCount - before <= 5, "${fleet.refusedCount - before} refused")
    }

    @Test
    fun `a small customer with requests at random hosts is refused little more than by a single bucket`() {
        var refusedCount = 0
        var requestCount = 0
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed, allowance = Allowance(ratePerSecond = 8.0, burst = 8.0))
            fleet.run(2_000) { 5.0 / 8 }
            val requestsBefore = fleet.requestCount
            val refusedBefore = fleet.refusedCount

            fleet.run(60_000) { 5.0 / 8 }

            requestCount += fleet.requestCount - requestsBefore
            refusedCount += fleet.refusedCount - refusedBefore - fleet.refusedBySingleBucketCount
        }

        assertTrue(refusedCount <= requestCount / 200, "$refusedCount of $requestCount refused")
    }

    @Test
    fun `sessions that become active together on one host are refused little more than by a single bucket`() {
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed)
            fleet.run(5_000, ::uneven)
            val before = fleet.refusedCount

            repeat(10) { turn ->
                fleet.run(300) { if (it == turn % 8) 100.0 else 2.0 }
                fleet.run(1_000, ::uneven)
            }

            val refused = fleet.refusedCount - before - fleet.refusedBySingleBucketCount
            assertTrue(refused <= fleet.requestCount / 100, "seed $seed: $refused of ${fleet.requestCount} refused")
        }
    }

    @Test
    fun `hosts that are partitioned for a short time stay within the rate together`() {
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed)
            fleet.run(5_000) { uneven(it) * 7.5 }
            fleet.isPartitioned = true
            fleet.run(1_500) { uneven(it) * 7.5 }
            fleet.isPartitioned = false
            fleet.run(5_000) { uneven(it) * 7.5 }

            assertTrue(fleet.maxInWindow() <= bound, "seed $seed: ${fleet.maxInWindow()} in a window")
        }
    }

    @Test
    fun `hosts on both sides of a long partition stay within the rate together, whenever the load peak begins`() {
        for (peakMillis in listOf(0L, 1_000L, 3_000L)) {
            val fleet = Fleet(hostCount = 8, seed = peakMillis.toInt() + 1)
            fleet.run(5_000, ::uneven)
            fleet.run(peakMillis) { uneven(it) * 7.5 }
            fleet.isPartitioned = true
            fleet.run(7_000) { uneven(it) * 7.5 }
            fleet.isPartitioned = false
            fleet.run(5_000) { uneven(it) * 7.5 }

            assertTrue(fleet.maxInWindow() <= bound, "$peakMillis: ${fleet.maxInWindow()} in a window")
        }
    }

    @Test
    fun `a small customer with many times its rate in requests stays within its rate`() {
        val allowance = Allowance(ratePerSecond = 8.0, burst = 8.0)
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed, allowance = allowance)
            fleet.run(3_000) { 0.5 }
            repeat(4) { turn ->
                fleet.run(2_000) { if (turn % 2 == 0) 20.0 else 0.3 }
            }

            assertTrue(
                fleet.maxInWindow() <= (8 * 5 + 8) * 1.1 + 20,
                "seed $seed: ${fleet.maxInWindow()} in a window",
            )
        }
    }

    @Test
    fun `a customer whose requests all arrive at one host is refused little more than by a single bucket`() {
        for (ratePerSecond in listOf(4.0, 8.0, 80.0)) {
            val fleet = placedFleet(ratePerSecond)
            fleet.run(2_000) { if (it == 0) ratePerSecond / 1.6 else 0.0 }
            val requestsBefore = fleet.requestCount
            val refusedBefore = fleet.refusedCount - fleet.refusedBySingleBucketCount

            fleet.run(60_000) { if (it == 0) ratePerSecond / 1.6 else 0.0 }

            val refused = fleet.refusedCount - fleet.refusedBySingleBucketCount - refusedBefore
            val requests = fleet.requestCount - requestsBefore
            assertTrue(refused <= requests / 200, "rate $ratePerSecond: $refused of $requests refused")
        }
    }

    @Test
    fun `a customer that moves between hosts with many times its rate stays within its rate`() {
        for (ratePerSecond in listOf(8.0, 80.0)) {
            val fleet = placedFleet(ratePerSecond)
            repeat(6) { turn -> fleet.run(3_000) { if (it == turn) ratePerSecond * 5 else 0.0 } }

            val bound = (ratePerSecond * 5 + ratePerSecond) * 1.1 + 20
            assertTrue(fleet.maxInWindow() <= bound, "rate $ratePerSecond: ${fleet.maxInWindow()} in a window")
        }
    }

    @Test
    fun `a customer whose host is lost is served at another one within a second`() {
        val fleet = placedFleet(ratePerSecond = 80.0)
        fleet.run(5_000) { if (it == 0) 50.0 else 0.0 }
        fleet.kill(0)
        fleet.run(1_500) { if (it == 1) 50.0 else 0.0 }
        val before = fleet.refusedCount

        fleet.run(10_000) { if (it == 1) 50.0 else 0.0 }

        assertTrue(fleet.refusedCount - before <= 5, "${fleet.refusedCount - before} refused")
    }

    private fun placedFleet(ratePerSecond: Double) = Fleet(
        hostCount = 9,
        allowance = Allowance(ratePerSecond, burst = ratePerSecond),
        baseFraction = DemandShareLimiter.PLACED_BASE_FRACTION,
    )

    private companion object {
        const val REPORT_MILLIS = 250L
        const val MIN_REPORT_INTERVAL_MILLIS = 60L

        /** A quarter of the shortest latency goal that operators state. */
        const val MAX_WAIT_MILLIS = 50L
        const val WINDOW_MILLIS = 5_000L
    }
}
