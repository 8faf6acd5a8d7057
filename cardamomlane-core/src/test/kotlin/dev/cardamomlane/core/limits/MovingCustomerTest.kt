package dev.cardamomlane.core.limits

import java.util.stream.IntStream
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * A customer whose requests move to another host whenever theirs stops or is killed. What the hosts before have admitted
 * is not handed out anew.
 *
 * The system properties `limit.schedules` and `limit.firstSeed` set how many schedules run, and from which seed on.
 */
class MovingCustomerTest {
    private val allowance = Allowance(ratePerSecond = 80.0, burst = 80.0)

    /** Guards against an allowance that each next host hands out anew while hosts stop in turn. */
    @Test
    fun `a customer far over its rate gets no more of it while the hosts that serve it stop in turn`() {
        for (seed in 1..20) {
            val fleet = PlacedFleet(seed, hostCount = 6, allowance)
            fleet.run(5_000, perSecond = 50.0)
            repeat(8) {
                fleet.run(1_300, perSecond = 375.0)
                fleet.stopServing()
            }

            assertTrue(fleet.maxInWindow() <= BOUND, "seed $seed: ${fleet.maxInWindow()} in a window")
        }
    }

    /** Guards against the same after kills and starts at any moment, with reports lost, late and repeated. */
    @Test
    fun `no schedule of stops and kills gives a customer more than its rate`() {
        val findings = IntStream.range(0, Integer.getInteger("limit.schedules", SCHEDULES)).parallel()
            .map { it + Integer.getInteger("limit.firstSeed", 1) }.boxed()
            .map { seed -> seed to scheduled(seed).maxInWindow() }.filter { it.second > BOUND }.toList()

        assertEquals(emptyList(), findings)
    }

    @Test
    fun `a customer within its rate is refused little more than by a single bucket while hosts stop in turn`() {
        val fleets = (1..10).map { seed ->
            PlacedFleet(seed, hostCount = 6, allowance).also { fleet ->
                fleet.run(3_000, perSecond = 50.0)
                repeat(10) {
                    fleet.run(3_000, perSecond = 50.0)
                    fleet.stopServing()
                }
            }
        }
        val refused = fleets.sumOf { it.refusedCount - it.refusedByBucketCount }
        val requests = fleets.sumOf { it.requestCount }

        assertTrue(refused <= requests / 100, "$refused of $requests refused")
    }

    private fun scheduled(seed: Int): PlacedFleet {
        val random = Random(-seed)
        val fleet = PlacedFleet(seed, hostCount = 3 + random.nextInt(5), allowance)
        fleet.run(1_000 + random.nextLong(3_000), perSecond = random.nextDouble(80.0))
        repeat(8) {
            fleet.run(200 + random.nextLong(2_000), perSecond = random.nextDouble(20.0, 600.0))
            if (random.nextInt(3) == 0) fleet.killServing() else fleet.stopServing()
        }
        fleet.run(2_000, perSecond = 400.0)
        return fleet
    }

    private companion object {
        const val SCHEDULES = 200

        /** Rate times window plus burst, with the tolerance that operators state: a tenth and 20 requests. */
        const val BOUND = (80.0 * 5 + 80.0) * 1.1 + 20
    }
}
