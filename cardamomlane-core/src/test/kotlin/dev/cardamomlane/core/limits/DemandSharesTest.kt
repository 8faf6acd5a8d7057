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
class DemandSharesTest {
    private val customer = CustomerId("press")
    private val allowance = Allowance(ratePerSecond = 80.0, burst = 80.0)

    private inner class Fleet(private val hostCount: Int, seed: Int = 1) {
        private val random = Random(seed)
        private val shares = Array(hostCount) { DemandShares(startedAtMillis = 0) }
        private val downHosts = HashSet<Int>()
        private val pending = ArrayList<Triple<Long, Int, Pair<Int, Map<CustomerId, Double>>>>()
        private val heardAtMillis = HashMap<Pair<Int, Int>, Long>()
        var nowMillis = 0L
            private set
        val admittedAtMillis = ArrayList<Long>()
        var refusedCount = 0
        var askedCount = 0

        fun kill(host: Int) {
            downHosts += host
        }

        fun restart(host: Int) {
            shares[host] = DemandShares(startedAtMillis = nowMillis)
            downHosts -= host
        }

        /** Lets [millis] pass while the customer asks each host at its rate. */
        fun run(millis: Long, askPerSecond: (host: Int) -> Double) {
            repeat(millis.toInt()) {
                nowMillis++
                deliver()
                for (host in 0 until hostCount) {
                    if (host in downHosts) continue
                    if ((nowMillis + host * 31) % TELL_MILLIS == 0L) tell(host)
                    if (random.nextDouble() * 1_000 < askPerSecond(host)) ask(host)
                }
            }
        }

        private fun ask(host: Int) {
            askedCount++
            when (shares[host].admit(customer, allowance, hostCount, nowMillis)) {
                is Admission.Admitted -> admittedAtMillis += nowMillis
                is Admission.Refused -> refusedCount++
            }
        }

        private fun tell(host: Int) {
            val heard = (0 until hostCount).filter { nowMillis - (heardAtMillis[host to it] ?: -1_000) < 900 }
            shares[host].retain(heard.mapTo(HashSet()) { HostId("h$it") })
            val told = shares[host].tell(nowMillis)
            for (other in 0 until hostCount) {
                if (other == host || random.nextInt(100) == 0) continue
                pending += Triple(nowMillis + 1 + random.nextLong(3), other, host to told)
            }
        }

        private fun deliver() {
            val due = pending.filter { it.first <= nowMillis }
            pending.removeAll(due)
            for ((_, to, message) in due) {
                if (to in downHosts) continue
                heardAtMillis[to to message.first] = nowMillis
                shares[to].hear(HostId("h${message.first}"), message.second)
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

    private companion object {
        const val TELL_MILLIS = 250L
        const val WINDOW_MILLIS = 5_000L
    }
}
