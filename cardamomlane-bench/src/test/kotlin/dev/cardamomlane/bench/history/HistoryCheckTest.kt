package dev.cardamomlane.bench.history

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals

/** Every check accepts a history that keeps all invariants and reports one that breaks its invariant. */
class HistoryCheckTest {
    @Test
    fun `a history that keeps all invariants has no violation`() {
        val history =
            History(
                operations =
                listOf(
                    write("s.1"),
                    write("s.2", outcome = Outcome.NOT_RUN),
                    write("s.3", outcome = Outcome.UNKNOWN),
                    write("s.4a", "s.4b"),
                    read(seen = listOf("s.1#0", "s.4a#0", "s.4b#0")),
                ),
                finalRows = mapOf("db" to listOf("s.1#0", "s.3#0", "s.4a#0", "s.4b#0")),
            )

        assertEquals(emptyList(), HistoryCheck.ALL.flatMap { it.violations(history) })
    }

    @ParameterizedTest
    @MethodSource("badHistories")
    internal fun `exactly the check of the broken invariant reports a violation`(case: BadHistory) {
        val found = HistoryCheck.ALL.flatMap { it.violations(case.history) }.map { it.check }

        assertEquals(listOf(case.check), found)
    }

    @Test
    fun `reports a window above rate and burst, but not one whose answers were only slow`() {
        val check = RateBound(mapOf("c" to CustomerRate(ratePerSecond = 10.0, burst = 3.0)))
        val burst = List(5) { write("s.$it", startMicros = it * 1_000L, endMicros = it * 1_000L + 500) }
        val slow = List(5) { write("s.$it", startMicros = 0, endMicros = 200_000) }

        assertEquals(1, check.violations(History(burst, emptyMap())).size)
        assertEquals(0, check.violations(History(burst.take(3), emptyMap())).size)
        assertEquals(0, check.violations(History(slow, emptyMap())).size)
    }

    internal class BadHistory(val check: String, val history: History) {
        override fun toString(): String = check
    }

    internal companion object {
        private var nextNumber = 0L

        @JvmStatic
        fun badHistories(): List<BadHistory> = listOf(
            bad("acknowledged-rows-present", rows = emptyList(), write("s.1")),
            bad("rows-once", rows = listOf("s.1#0", "s.1#1"), write("s.1", outcome = Outcome.UNKNOWN)),
            bad("refused-rows-absent", rows = listOf("s.1#0"), write("s.1", outcome = Outcome.NOT_RUN)),
            bad("read-your-writes", rows = listOf("s.1#0"), write("s.1"), read(seen = emptyList())),
            bad("whole-transactions", rows = listOf("s.1a#0"), write("s.1a", "s.1b", outcome = Outcome.UNKNOWN)),
            bad(
                "whole-transactions",
                rows = listOf("s.1a#0", "s.1b#0"),
                read(seen = listOf("s.1a#0")),
                write("s.1a", "s.1b"),
            ),
            bad("own-answers", rows = emptyList(), read(seen = emptyList(), echo = "other")),
            bad("own-answers", rows = emptyList(), read(seen = listOf("t.1#0"))),
        )

        private fun bad(check: String, rows: List<String>, vararg operations: Operation): BadHistory =
            BadHistory(check, History(operations.toList(), mapOf("db" to rows)))

        private fun write(
            vararg statements: String,
            outcome: Outcome = Outcome.ACKNOWLEDGED,
            startMicros: Long = 0,
            endMicros: Long = 1,
        ): Operation = Operation(
            session = "s",
            number = nextNumber++,
            daemon = "host-1",
            database = "db",
            customer = "c",
            kind = if (statements.size > 1) OperationKind.TRANSACTION else OperationKind.INSERT,
            statements = statements.toList(),
            outcome = outcome,
            startMicros = startMicros,
            endMicros = endMicros,
        )

        private fun read(seen: List<String>, echo: String = "echo"): Operation =
            write("echo").copy(kind = OperationKind.READ, readAuthor = "s", seen = seen, echo = echo)
    }
}
