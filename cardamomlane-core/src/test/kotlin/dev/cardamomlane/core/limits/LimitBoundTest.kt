package dev.cardamomlane.core.limits

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.test.assertTrue

class LimitBoundTest {
    @Property(tries = 400, seed = "20261204")
    fun `no time window admits more than its rate and burst allow`(
        @ForAll @LongRange(min = 0, max = 1_000_000_000) seed: Long,
    ) {
        for (limit in LIMITS) {
            val overTokens = highestExcess(FaultyFleet(seed, limit, Defect.NONE).run(), limit)
            assertTrue(overTokens <= ROUNDING_TOKENS, "limit $limit is exceeded by $overTokens, seed $seed")
        }
    }

    @ParameterizedTest
    @EnumSource(Defect::class, names = ["NONE"], mode = EnumSource.Mode.EXCLUDE)
    fun `the check detects each defect`(defect: Defect) {
        val limit = LIMITS.last()
        val found = (0L until 100).count {
            highestExcess(FaultyFleet(it, limit, defect).run(), limit) > ROUNDING_TOKENS
        }

        assertTrue(found > 0, "no run of 100 shows $defect")
    }

    @Test
    fun `the fleet admits more than a third of the allowance under these faults`() {
        val limit = LIMITS[2]
        val admitted = (0L until 50).sumOf { FaultyFleet(it, limit, Defect.NONE).run().size }
        val possible = 50 * (limit.ratePerSecond * FaultyFleet.RUN_MILLIS / 1000 + limit.burst)

        assertTrue(admitted > possible / 3, "$admitted of $possible requests were admitted")
    }

    /**
     * The largest number of tokens by which any window exceeds rate * time + burst, computed with one reference bucket.
     * Its rate is higher by the clock rate error.
     */
    private fun highestExcess(admittedAtMillis: List<Long>, limit: Allowance): Double {
        val perMilli = limit.ratePerSecond * (1 + FaultyFleet.CLOCK_RATE_ERROR) / 1000
        var level = limit.burst
        var lastMillis = 0L
        var excess = 0.0
        for (atMillis in admittedAtMillis) {
            level = minOf(limit.burst, level + (atMillis - lastMillis) * perMilli) - 1
            lastMillis = atMillis
            excess = maxOf(excess, -level)
        }
        return excess
    }

    private companion object {
        const val ROUNDING_TOKENS = 0.25
        val LIMITS = listOf(
            Allowance(ratePerSecond = 5.0, burst = 3.0),
            Allowance(ratePerSecond = 20.0, burst = 10.0),
            Allowance(ratePerSecond = 60.0, burst = 40.0),
            Allowance(ratePerSecond = 200.0, burst = 20.0),
        )
    }
}
