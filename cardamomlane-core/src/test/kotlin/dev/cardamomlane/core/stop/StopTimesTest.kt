package dev.cardamomlane.core.stop

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class StopTimesTest {
    @Test
    fun `the steps of a stop with the usual grace time`() {
        val times = StopTimes(6_000)

        assertEquals(
            listOf(1_800L, 3_000L, 5_300L, 5_400L),
            listOf(times.closingMillis, times.endingMillis, times.lastAnswersMillis, times.endMillis),
        )
    }

    /** Guards against transactions that a stop aborts while they still have time, as the half of a shorter time is meant. */
    @Test
    fun `open transactions have the first half of any grace time, and the steps come in order before its end`() {
        for (graceMillis in 0L..60_000L) {
            val times = StopTimes(graceMillis)

            assertEquals(graceMillis / 2, times.endingMillis)
            assertTrue(times.closingMillis <= times.endingMillis && times.lastAnswersMillis <= times.endMillis)
            assertTrue(times.endingMillis <= times.lastAnswersMillis || graceMillis < 2, "$graceMillis")
            assertTrue(times.endMillis < graceMillis || graceMillis == 0L)
        }
    }

    @Test
    fun `a negative grace time is refused`() {
        assertFailsWith<IllegalArgumentException> { StopTimes(-1) }
    }
}
