package dev.cardamomlane.engine.session

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Withdraws keys at any moment while callers are inside statements and transactions, see [KeyWithdrawalSchedule]. */
class KeyWithdrawalScheduleTest {
    /** Guards against transactions that go on, and commit, under a key which the configuration does not hold any more. */
    @Test
    fun `nothing is begun under a withdrawn key, and its open transactions are rolled back within a second`() {
        val played = Schedules.play(::KeyWithdrawalSchedule)

        assertEquals(emptyList(), played.findings.take(Schedules.SHOWN_FINDINGS))
        assertTrue(played.begunCount > Schedules.count * 20, "${played.begunCount} statements were begun")
    }
}
