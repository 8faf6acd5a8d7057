package dev.cardamomlane.core.limits

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a customer's rate being spent on its less urgent operations while it is over its rate. */
class PriorityAdmissionTest {
    private val allowance = Allowance(RATE, RATE)

    private fun simulation(hasUrgency: Boolean = true, retryCount: Int = 0, rate: Double = RATE, seed: Int = 1) =
        RateSimulation(Allowance(rate, rate), hasUrgency, retryCount, seed)

    /** A quiet start, then [factor] times the usual demand for 6 s. The usual is 0.62 of the rate. */
    private fun hot(factor: Double, hasUrgency: Boolean, retryCount: Int = 0, rate: Double = RATE, seed: Int = 1) =
        simulation(hasUrgency, retryCount, rate, seed).also { it.runHot(factor, rate) }

    private fun RateSimulation.runHot(factor: Double, rate: Double, millis: Long = HOT_MILLIS) {
        run(QUIET_MILLIS, *usual(rate))
        resetCounts()
        run(millis, *usual(rate, factor))
    }

    private fun usual(rate: Double, factor: Double = 1.0) =
        MIX.map { it * rate * USUAL_FRACTION * factor }.toDoubleArray()

    @Test
    fun `a hot customer, who was served and refused by priority before and after`() {
        println("rate  load                          priority  offered  before  after")
        for (rate in listOf(8.0, 40.0, 120.0)) {
            for ((factor, retries) in listOf(1.5 to 0, 4.0 to 0, 6.0 to 0, 7.0 to 0, 6.0 to 2)) {
                val before = hot(factor, hasUrgency = false, retries, rate)
                val after = hot(factor, hasUrgency = true, retries, rate)
                for (priority in MIX.indices) {
                    val load = "$factor times the usual, $retries retries"
                    println(
                        "%5.0f %-32s %d %9d %8d %6d".format(
                            rate,
                            load,
                            priority,
                            after.offered[priority],
                            before.served[priority],
                            after.served[priority],
                        ),
                    )
                }
                assertTrue(
                    after.served.sum() <= before.served.sum() + rate / 10 + 1,
                    "more was admitted: ${after.served.toList()}",
                )
            }
        }
    }

    @Test
    fun `a hot customer at 4 to 7 times its usual keeps its urgent operations`() {
        for (factor in listOf(4.0, 5.0, 6.0, 7.0)) {
            val before = hot(factor, hasUrgency = false)
            val after = hot(factor, hasUrgency = true)
            val urgent = MIX[0] * USUAL_FRACTION * factor
            val bound = minOf(1.0, (1 - 2 * PriorityAdmission.FLOOR_FRACTION) / urgent) * 0.95
            assertTrue(after.servedFraction(0) >= bound, "$factor times: ${after.servedFraction(0)}, bound $bound")
            assertTrue(after.servedFraction(0) > before.servedFraction(0), "$factor times: not better than before")
        }
    }

    @Test
    fun `three hot customers at once are decided each by its own demand`() {
        val factors = listOf(4.0, 6.0, 7.0)
        for ((index, factor) in factors.withIndex()) {
            val one = hot(factor, hasUrgency = true, rate = 60.0 + 30 * index, seed = index)
            assertTrue(one.servedFraction(0) >= 0.9 * minOf(1.0, 0.8 / (MIX[0] * USUAL_FRACTION * factor)))
        }
    }

    @Test
    fun `no priority starves while a more urgent one alone exceeds the rate`() {
        val one = simulation()
        one.run(QUIET_MILLIS, *usual(RATE))
        one.resetCounts()
        one.run(HOT_MILLIS, 4 * RATE, RATE, RATE)

        val floor = PriorityAdmission.FLOOR_FRACTION * RATE * HOT_MILLIS / 1_000
        assertTrue(one.served[1] >= floor * 0.9, "priority 1: ${one.served[1]}, floor $floor")
        assertTrue(one.served[2] >= floor * 0.9, "priority 2: ${one.served[2]}, floor $floor")
    }

    @Test
    fun `a burst of the least urgent class costs the others nothing`() {
        for (factor in listOf(4.0, 8.0)) {
            val one = simulation()
            one.run(QUIET_MILLIS, *usual(RATE))
            one.resetCounts()
            val rates = usual(RATE)
            rates[2] *= factor
            one.run(HOT_MILLIS, *rates)

            assertTrue(one.servedFraction(0) >= 0.99, "priority 0: ${one.servedFraction(0)}")
            assertTrue(one.servedFraction(1) >= 0.97, "priority 1: ${one.servedFraction(1)}")
        }
    }

    @Test
    fun `callers that retry refused operations twice do not take the rate from urgent ones`() {
        val before = hot(6.0, hasUrgency = false, retryCount = 2)
        val after = hot(6.0, hasUrgency = true, retryCount = 2)

        val bound = minOf(1.0, 0.8 / (MIX[0] * USUAL_FRACTION * 6)) * 0.95
        assertTrue(after.servedFraction(0) >= bound, "${after.servedFraction(0)}, before ${before.servedFraction(0)}")
    }

    @Test
    fun `the decision follows a rise of demand within 300 ms and idle tokens are used`() {
        for (rate in listOf(8.0, RATE, 200.0)) {
            val one = simulation(rate = rate)
            one.run(QUIET_MILLIS, *usual(rate))
            one.run(300, *usual(rate, 7.0))
            one.resetCounts()
            one.run(2_000, *usual(rate, 7.0))
            val bound = minOf(1.0, 0.8 / (MIX[0] * USUAL_FRACTION * 7)) * 0.85
            assertTrue(one.servedFraction(0) >= bound, "rate $rate: ${one.servedFraction(0)}, bound $bound")
            assertTrue(
                one.served.sum() >= 2 * rate * 0.93,
                "rate $rate: ${one.served.sum()} of ${2 * rate} tokens used",
            )
        }
    }

    @Test
    fun `within the rate nothing is refused that was admitted before`() {
        for (rate in listOf(8.0, RATE, 200.0)) {
            val before = simulation(hasUrgency = false, rate = rate)
            val after = simulation(rate = rate)
            for (one in listOf(before, after)) one.run(60_000, *usual(rate, 0.9 / USUAL_FRACTION))
            val more = after.refusals.size - before.refusals.size
            assertTrue(more <= after.offered.sum() * 0.005, "rate $rate: $more more refused")
        }
    }

    @Test
    fun `a member without 300 ms of history admits as before`() {
        val admission = PriorityAdmission()
        val empty = TokenBudget(ratePerSecond = RATE, levelTokens = 0.0, capacityTokens = RATE)
        for (millis in 0L until PriorityAdmission.HISTORY_MILLIS) {
            assertEquals(Admission.Admitted, admission.decide(2, empty, millis))
        }
        val later = List(50) { admission.decide(2, empty, PriorityAdmission.HISTORY_MILLIS + it) }
        assertTrue(later.any { it is Admission.Refused })
    }

    @Test
    fun `every priority is admitted while the bucket is more than half full`() {
        val admission = PriorityAdmission()
        val level = TokenBudget(ratePerSecond = RATE, levelTokens = 0.6 * RATE, capacityTokens = RATE)
        for (millis in 0L until 2_000) assertEquals(Admission.Admitted, admission.decide(2, level, millis))
    }

    @Test
    fun `the total stays within rate and burst`() {
        val one = hot(7.0, hasUrgency = true, retryCount = 2)
        assertTrue(one.served.sum() <= allowance.ratePerSecond * HOT_MILLIS / 1_000 + allowance.burst + 1)
    }

    private companion object {
        const val RATE = 80.0
        const val QUIET_MILLIS = 5_000L
        const val HOT_MILLIS = 6_000L

        /** The usual demand as a fraction of the rate: 6 times the usual is 3.7 times the rate. */
        const val USUAL_FRACTION = 0.62

        /** The parts of the demand by priority. */
        val MIX = listOf(0.25, 0.35, 0.4)
    }
}
