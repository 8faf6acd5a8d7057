package dev.cardamomlane.core.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Runs seeded schedules, see [SessionSchedule]. The system property `session.schedules` sets how many, and `session.seed`
 * the first seed.
 */
class SessionScheduleTest {
    private val seeds = (System.getProperty("session.seed") ?: "1").toLong().let { first ->
        first until first + (System.getProperty("session.schedules") ?: "300").toLong()
    }

    private fun findings(seeds: Iterable<Long>, memory: () -> SessionMemory): List<String> =
        seeds.flatMap { seed -> SessionSchedule(seed, memory()).run().map { "seed $seed: $it" } }

    /** Guards against a read that lacks an own commit, and against one that is refused for good for a position. */
    @Test
    fun `a session reads its own acknowledged commits, and is served while the primary is known`() {
        assertEquals(emptyList(), findings(seeds) { RememberedPositions() }.take(SHOWN))
    }

    @Test
    fun `the schedules read own commits at replicas, and are refused while no primary is known`() {
        val schedules = (1L..50L).map { seed -> SessionSchedule(seed, RememberedPositions()).also { it.run() } }

        assertTrue(schedules.sumOf { it.ownReadCount } >= 5_000, "${schedules.sumOf { it.ownReadCount }}")
        assertTrue(schedules.sumOf { it.replicaReadCount } >= 2_000, "${schedules.sumOf { it.replicaReadCount }}")
        assertTrue(schedules.sumOf { it.refusedCount } >= 50, "${schedules.sumOf { it.refusedCount }}")
    }

    @Test
    fun `the schedules find each wrong rule`() {
        for ((rule, memory) in wrongRules) {
            assertTrue(findings(1L..50L, memory).isNotEmpty(), "no schedule finds the rule: $rule")
        }
    }

    private val wrongRules: Map<String, () -> SessionMemory> = mapOf(
        "a transaction without writes replaces the position" to { LastPosition(replacedWithoutWrites = true) },
        "a commit replaces the position, whatever its log" to { LastPosition(replacedWithoutWrites = false) },
        "positions of all logs are compared" to { HighestOfAllLogs() },
    )

    /** Remembers one position for all logs, that of the last commit. */
    private class LastPosition(private val replacedWithoutWrites: Boolean) : SessionMemory {
        private var last: LogPosition? = null

        override fun onCommit(log: DatabaseId, position: LogPosition) {
            last = position
        }

        override fun onCommitWithoutWrites(log: DatabaseId, position: LogPosition) {
            if (replacedWithoutWrites) last = position
        }

        override fun required(log: DatabaseId, covering: LogPosition?, newest: LogPosition?): LogPosition? =
            SessionPositions.of(listOfNotNull(last?.let { LogCommit(log, it) })).required(log, covering, newest)
    }

    /** Remembers one position for all logs, the highest one, and requires no more than the primary was seen at. */
    private class HighestOfAllLogs : SessionMemory {
        private var highest = LogPosition.START

        override fun onCommit(log: DatabaseId, position: LogPosition) {
            highest = maxOf(highest, position)
        }

        override fun onCommitWithoutWrites(log: DatabaseId, position: LogPosition) = Unit

        override fun required(log: DatabaseId, covering: LogPosition?, newest: LogPosition?): LogPosition? =
            covering?.let { maxOf(it, minOf(highest, newest ?: it)) }
    }

    private companion object {
        const val SHOWN = 10
    }
}
