package dev.cardamomlane.engine.session

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Withdraws keys at any moment while callers are inside statements and transactions, see [KeyWithdrawalSchedule]. */
class KeyWithdrawalScheduleTest {
    /** Guards against transactions that go on, and commit, under a key which the configuration does not hold any more. */
    @Test
    fun `nothing is begun under a withdrawn key, and its open transactions are rolled back within a second`() {
        var begunCount = 0
        val findings = Schedules.seeds().flatMap { seed ->
            val schedule = KeyWithdrawalSchedule(seed)
            schedule.run().map { "seed $seed: $it" }.also { begunCount += schedule.begunCount }
        }

        assertEquals(emptyList(), findings.take(Schedules.SHOWN_FINDINGS))
        assertTrue(begunCount > Schedules.count * 20, "$begunCount statements were begun")
    }
}
