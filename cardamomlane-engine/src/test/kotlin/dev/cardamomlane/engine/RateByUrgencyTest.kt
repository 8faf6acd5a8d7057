package dev.cardamomlane.engine

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.limits.TokenBudget
import dev.cardamomlane.engine.log.DecisionLog
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a flood of log lines while customers are over their rates, and against counts that miss refusals. */
class RateByUrgencyTest {
    private val lines = ArrayList<List<Any?>>()
    private val log = object : DecisionLog by DecisionLog.None {
        override fun event(part: String, event: String, vararg fields: Any?) {
            lines += listOf(part, event) + fields
        }
    }

    @Test
    fun `three hot customers cause at most one line a second each, and every refusal is counted`() {
        val urgency = RateByUrgency(log)
        val budget = TokenBudget(ratePerSecond = 50.0, levelTokens = 0.0, capacityTokens = 50.0)
        var refused = 0L
        for (millis in 0L until 3_000) {
            for (customer in listOf("a", "b", "c")) {
                if (urgency.refusal(CustomerId(customer), priority = 2, budget, millis) != null) refused++
            }
        }

        assertEquals(refused, urgency.refusedCount)
        assertTrue(refused > 6_000, "$refused refused")
        assertEquals(setOf("refused_by_priority"), lines.map { it[1] }.toSet())
        assertTrue(lines.size in 6..12, "${lines.size} lines")
    }
}
