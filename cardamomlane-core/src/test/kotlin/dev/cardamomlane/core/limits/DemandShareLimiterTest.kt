package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.HostId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Patterns of load over several hosts that tell each other their demand every 250 ms, with a delay and now and then a
 * lost message.
 */
class DemandShareLimiterTest {
    private val customer = CustomerId("press")
    private val allowance = Allowance(ratePerSecond = 80.0, burst = 80.0)

    private class Message(
        val dueAtMillis: Long,
        val from: Int,
        val run: Long,
        val to: Int,
        val uses: Map<CustomerId, CustomerUsage>,
    )

    private data class Waiting(val atMillis: Long, val host: Int, val askedAtMillis: Long)

    private inner class Fleet(
        private val hostCount: Int,
        seed: Int = 1,
        private val allowance: Allowance = this@DemandShareLimiterTest.allowance,
    ) {
        private val random = Random(seed)
        private val shares = Array(hostCount) { DemandShareLimiter(startedAtMillis = 0) }
        private val waiting = ArrayList<Waiting>()
        private val toldAtMillis = LongArray(hostCount)
        private val runs = LongArray(hostCount)
        private val downHosts = HashSet<Int>()
        private val pending = ArrayList<Message>()
        private val heardAtMillis = HashMap<Pair<Int, Int>, Long>()
        var nowMillis = 0L
            private set

        /** True while hosts with even numbers don't hear those with odd numbers. */
        var isCut = false
        val admittedAtMillis = ArrayList<Long>()
        var refusedCount = 0
        var askedCount = 0

        /** How many requests one bucket for all hosts would have refused. */
        var refusedByOneCount = 0
            private set
        private var oneTokens = allowance.burst
        private var oneFilledAtMillis = 0L

        fun kill(host: Int) {
            downHosts += host
        }

        fun restart(host: Int) {
            shares[host] = DemandShareLimiter(startedAtMillis = nowMillis)
            runs[host]++
            downHosts -= host
        }

        /** Lets [millis] pass while the customer asks each host at its rate. */
        fun run(millis: Long, askPerSecond: (host: Int) -> Double) {
            repeat(millis.toInt()) {
                nowMillis++
                deliver()
                askAgain()
                for (host in 0 until hostCount) {
                    if (host in downHosts) continue
                    if ((nowMillis + host * 31) % TELL_MILLIS == 0L) tell(host)
                    if (random.nextDouble() * 1_000 < askPerSecond(host)) ask(host)
                }
            }
        }

        private fun ask(host: Int) {
            askedCount++
            askOne()
            conclude(host, nowMillis, shares[host].admit(customer, allowance, hostCount, nowMillis))
        }

        private fun askOne() {
            val newTokens = (nowMillis - oneFilledAtMillis) * allowance.ratePerSecond / 1_000
            oneTokens = minOf(allowance.burst, oneTokens + newTokens)
            oneFilledAtMillis = nowMillis
            if (oneTokens >= 1) oneTokens-- else refusedByOneCount++
        }

        /** A refused request waits a little when its turn is near, and has its host tell early. */
        private fun conclude(host: Int, askedAtMillis: Long, admission: Admission) {
            if (admission is Admission.Refused) {
                if (nowMillis - toldAtMillis[host] >= EARLY_MILLIS) tell(host)
                val againAtMillis = nowMillis + admission.retryAfterMillis
                if (againAtMillis - askedAtMillis <=
                    PATIENCE_MILLIS
                ) {
                    waiting += Waiting(againAtMillis, host, askedAtMillis)
                } else {
                    refusedCount++
                }
            } else {
                admittedAtMillis += nowMillis
            }
        }

        private fun askAgain() {
            val due = waiting.filter { it.atMillis <= nowMillis }
            waiting.removeAll(due)
            for ((_, host, askedAtMillis) in due) {
                if (host in downHosts) continue
                conclude(host, askedAtMillis, shares[host].admitAgain(customer, allowance, hostCount, nowMillis))
            }
        }

        private fun tell(host: Int) {
            val heard = (0 until hostCount).filter { nowMillis - (heardAtMillis[host to it] ?: -1_000) < 900 }
            shares[host].retainHosts(heard.mapTo(HashSet()) { HostId("h$it") })
            toldAtMillis[host] = nowMillis
            val told = shares[host].report(hostCount, nowMillis)
            for (other in 0 until hostCount) {
                if (other == host || random.nextInt(100) == 0) continue
                if (isCut && host % 2 != other % 2) continue
                pending += Message(nowMillis + 1 + random.nextLong(3), host, runs[host], other, told)
            }
        }

        private fun deliver() {
            val due = pending.filter { it.dueAtMillis <= nowMillis }
            pending.removeAll(due)
            for (message in due) {
                if (message.to in downHosts) continue
                heardAtMillis[message.to to message.from] = nowMillis
                shares[message.to].onReport(HostId("h${message.from}"), message.run, message.uses, nowMillis)
            }
        }

        /** The most requests admitted in any window of five seconds. */
        fun mostInWindow(): Int {
            var first = 0
            var most = 0
            for (last in admittedAtMillis.indices) {
                while (admittedAtMillis[last] - admittedAtMillis[first] >= WINDOW_MILLIS) first++
                most = maxOf(most, last - first + 1)
            }
            return most
        }
    }

    /** Rate times window plus burst, and the tolerance that operators state. */
    private val bound = (80.0 * 5 + 80.0) * 1.1 + 20

    /** Usual demand is the rate over 1.6, spread unevenly: half of it at one host of eight. */
    private fun uneven(host: Int): Double = if (host == 0) 25.0 else 25.0 / 7

    @Test
    fun `a customer within its rate is refused nothing, however uneven its sessions are spread`() {
        val fleet = Fleet(hostCount = 8)
        fleet.run(2_000, ::uneven)
        val before = fleet.refusedCount

        fleet.run(20_000, ::uneven)

        assertTrue(fleet.refusedCount - before <= fleet.askedCount / 1_000, "${fleet.refusedCount - before} refused")
    }

    @Test
    fun `hosts that have waited for their first callers refuse nothing within the rate`() {
        val fleet = Fleet(hostCount = 8)
        fleet.run(3_000) { 0.0 }

        fleet.run(1_000, ::uneven)

        assertTrue(fleet.refusedCount <= 10, "${fleet.refusedCount} of ${fleet.askedCount} refused")
    }

    @Test
    fun `a customer that asks many times its rate gets no more than its rate over all hosts`() {
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed)
            fleet.run(5_000, ::uneven)
            fleet.run(10_000) { uneven(it) * 7.5 }

            assertTrue(fleet.mostInWindow() <= bound, "seed $seed: ${fleet.mostInWindow()} in a window")
        }
    }

    @Test
    fun `a surge that moves from host to host stays within the rate`() {
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed)
            repeat(20) { turn -> fleet.run(700) { if (it == turn % 8) 500.0 else 2.0 } }

            assertTrue(fleet.mostInWindow() <= bound, "seed $seed: ${fleet.mostInWindow()} in a window")
        }
    }

    @Test
    fun `hosts that are killed and started again bring no burst of their own`() {
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed)
            fleet.run(5_000) { uneven(it) * 7.5 }
            repeat(8) { host ->
                fleet.kill(host)
                fleet.run(400) { uneven(it) * 7.5 }
                fleet.restart(host)
                fleet.run(300) { uneven(it) * 7.5 }
            }

            assertTrue(fleet.mostInWindow() <= bound, "seed $seed: ${fleet.mostInWindow()} in a window")
        }
    }

    @Test
    fun `the others take over a lost host's share within two seconds`() {
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
    fun `a small customer whose few requests come anywhere is refused hardly more than by one bucket for all`() {
        var refusedCount = 0
        var askedCount = 0
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed, allowance = Allowance(ratePerSecond = 8.0, burst = 8.0))
            fleet.run(2_000) { 5.0 / 8 }
            val askedBefore = fleet.askedCount
            val refusedBefore = fleet.refusedCount

            fleet.run(60_000) { 5.0 / 8 }

            askedCount += fleet.askedCount - askedBefore
            refusedCount += fleet.refusedCount - refusedBefore - fleet.refusedByOneCount
        }

        assertTrue(refusedCount <= askedCount / 200, "$refusedCount of $askedCount refused")
    }

    @Test
    fun `a customer whose sessions wake together on few hosts is refused hardly anything`() {
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed)
            fleet.run(5_000, ::uneven)
            val before = fleet.refusedCount

            repeat(10) { turn ->
                fleet.run(300) { if (it == turn % 8) 100.0 else 2.0 }
                fleet.run(1_000, ::uneven)
            }

            val refused = fleet.refusedCount - before - fleet.refusedByOneCount
            assertTrue(refused <= fleet.askedCount / 100, "seed $seed: $refused of ${fleet.askedCount} refused")
        }
    }

    @Test
    fun `hosts that do not hear one another for a while keep to the rate together`() {
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed)
            fleet.run(5_000) { uneven(it) * 7.5 }
            fleet.isCut = true
            fleet.run(1_500) { uneven(it) * 7.5 }
            fleet.isCut = false
            fleet.run(5_000) { uneven(it) * 7.5 }

            assertTrue(fleet.mostInWindow() <= bound, "seed $seed: ${fleet.mostInWindow()} in a window")
        }
    }

    @Test
    fun `hosts on both sides of a cut that lasts keep to the rate together, whenever the surge begins`() {
        for (surgeMillis in listOf(0L, 1_000L, 3_000L)) {
            val fleet = Fleet(hostCount = 8, seed = surgeMillis.toInt() + 1)
            fleet.run(5_000, ::uneven)
            fleet.run(surgeMillis) { uneven(it) * 7.5 }
            fleet.isCut = true
            fleet.run(7_000) { uneven(it) * 7.5 }
            fleet.isCut = false
            fleet.run(5_000) { uneven(it) * 7.5 }

            assertTrue(fleet.mostInWindow() <= bound, "$surgeMillis: ${fleet.mostInWindow()} in a window")
        }
    }

    @Test
    fun `a small customer that asks many times its rate keeps to its rate`() {
        val allowance = Allowance(ratePerSecond = 8.0, burst = 8.0)
        for (seed in 1..5) {
            val fleet = Fleet(hostCount = 8, seed = seed, allowance = allowance)
            fleet.run(3_000) { 0.5 }
            repeat(4) { turn ->
                fleet.run(2_000) { if (turn % 2 == 0) 20.0 else 0.3 }
            }

            assertTrue(
                fleet.mostInWindow() <= (8 * 5 + 8) * 1.1 + 20,
                "seed $seed: ${fleet.mostInWindow()} in a window",
            )
        }
    }

    private companion object {
        const val TELL_MILLIS = 250L
        const val EARLY_MILLIS = 60L

        /** A quarter of the shortest goal that operators state. */
        const val PATIENCE_MILLIS = 50L
        const val WINDOW_MILLIS = 5_000L
    }
}
