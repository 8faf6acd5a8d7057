package dev.cardamomlane.engine.session

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Loses answers and silences connections at any moment, see [SilenceSchedule]. */
class SilenceScheduleTest {
    /** Guards against connections, slots, queue places and operations that wait for an answer for good. */
    @Test
    fun `nothing is held for good when answers are lost and connections go silent, and callers are served again`() {
        val played = Schedules.play(::SilenceSchedule)

        assertEquals(emptyList(), played.findings.take(Schedules.SHOWN_FINDINGS))
        assertTrue(played.begunCount > Schedules.count * 20, "${played.begunCount} statements were begun")
    }
}
