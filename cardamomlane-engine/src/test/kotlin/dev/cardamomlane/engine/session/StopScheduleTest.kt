package dev.cardamomlane.engine.session

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Stops hosts at any moment while callers are inside statements and transactions, see [StopSchedule]. */
class StopScheduleTest {
    /** Guards against statements of open transactions that go on through a stop and are cut when the process ends. */
    @Test
    fun `a stop answers every statement, cuts none that a target runs and begins none that can't end`() {
        val played = Schedules.play(::StopSchedule)

        assertEquals(emptyList(), played.findings.take(Schedules.SHOWN_FINDINGS))
        assertTrue(played.begunCount > Schedules.count * 20, "${played.begunCount} statements were begun")
    }
}
