package dev.cardamomlane.engine.session

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Callers whose targets send some of their answers a second time, late. */
class RepeatedAnswersTest {
    /** Guards against callers that get the answer to another statement, in any order of statements and repetitions. */
    @Test
    fun `each caller is told what became of its own statement while targets repeat answers`() {
        for (seed in 1L..SEEDS) {
            for (percent in listOf(5, 50)) {
                val schedule = RepetitionSchedule(seed, repeatedPercent = percent, refusedPercent = 5)
                schedule.run()

                assertEquals(emptyList(), schedule.findings(), "seed $seed, $percent %")
                assertTrue(
                    schedule.servedCount > 0 && schedule.repetitionCount > 0,
                    "seed $seed, $percent %: nothing ran",
                )
            }
        }
    }

    /** Guards against a host that stays right by serving little: at most one operation in twenty may fail. */
    @Test
    fun `operations are served although one answer in twenty comes again`() {
        val schedules = (1L..SEEDS).map { RepetitionSchedule(it, repeatedPercent = 5, refusedPercent = 0) }
        schedules.forEach { it.run() }
        val all = schedules.sumOf { it.operationCount }
        val served = schedules.sumOf { it.servedCount }
        val dials = schedules.sumOf { it.dialCount }
        println("repeated answers: $served of $all operations served, $dials connections opened")

        assertTrue((all - served) * 20 <= all, "$served of $all operations were served")
    }

    private companion object {
        const val SEEDS = 40L
    }
}
