package dev.cardamomlane.engine.session

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Loses answers and silences connections at any moment, see [SilenceSchedule]. */
class SilenceScheduleTest {
    /** Guards against connections, slots, queue places and operations that wait for an answer for good. */
    @Test
    fun `nothing is held for good when answers are lost and connections go silent, and callers are served again`() {
        var begunCount = 0
        val findings = Schedules.seeds().flatMap { seed ->
            val schedule = SilenceSchedule(seed)
            schedule.run().map { "seed $seed: $it" }.also { begunCount += schedule.begunCount }
        }

        assertEquals(emptyList(), findings.take(Schedules.SHOWN_FINDINGS))
        assertTrue(begunCount > Schedules.count * 20, "$begunCount statements were begun")
    }
}
