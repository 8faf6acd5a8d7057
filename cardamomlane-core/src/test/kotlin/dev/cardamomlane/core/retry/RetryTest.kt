package dev.cardamomlane.core.retry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RetryTest {
    @Test
    fun `a request is repeated only if it did not run or may run twice`() {
        val sent = AttemptFacts(sent = true)
        val cases = listOf(
            AttemptFacts(sent = false) to AttemptOutcome.NOT_RUN,
            sent to AttemptOutcome.UNKNOWN,
            sent.copy(refusedByTarget = true) to AttemptOutcome.NOT_RUN,
            sent.copy(refusedByTarget = true, answered = true) to AttemptOutcome.UNKNOWN,
            sent.copy(repeatable = true) to AttemptOutcome.REPEAT,
            sent.copy(discardedAsStale = true) to AttemptOutcome.REPEAT,
            sent.copy(repeatable = true, answered = true) to AttemptOutcome.UNKNOWN,
            sent.copy(repeatable = true, inTransaction = true) to AttemptOutcome.UNKNOWN,
            AttemptFacts(sent = false, inTransaction = true) to AttemptOutcome.TRANSACTION_LOST,
            sent.copy(refusedByTarget = true, inTransaction = true) to AttemptOutcome.TRANSACTION_LOST,
        )
        for ((facts, outcome) in cases) assertEquals(outcome, outcomeOf(facts), "$facts")
    }

    @Test
    fun `retries stay a part of the requests`() {
        val budget = RetryBudget(ratio = 0.1, maxRetries = 20.0)
        val granted = (1..1_000).count {
            budget.onRequest()
            budget.tryRetry()
        }
        assertTrue(granted in 115..121, "$granted retries")
    }

    @Test
    fun `a slow target is left to work and a silent connection is given up`() {
        val probe = SilentConnectionDetector(sentAtMillis = 0, silenceMillis = 1_000)
        assertFalse(probe.startProbeIfDue(nowMillis = 999))
        assertTrue(probe.startProbeIfDue(nowMillis = 1_000))
        assertFalse(probe.startProbeIfDue(nowMillis = 1_010), "while one is on its way")
        assertFalse(probe.onProbeResult(isWorking = true, nowMillis = 1_020))
        assertTrue(probe.startProbeIfDue(nowMillis = 2_020))
        assertFalse(probe.onProbeResult(isWorking = false, nowMillis = 2_030), "its answer may still be on the way")
        assertFalse(probe.startProbeIfDue(nowMillis = 2_229))
        assertTrue(probe.startProbeIfDue(nowMillis = 2_230))
        assertTrue(probe.onProbeResult(isWorking = false, nowMillis = 2_240))
    }

    @Test
    fun `an answer that comes just after the target said it is done keeps the connection`() {
        val probe = SilentConnectionDetector(sentAtMillis = 0, silenceMillis = 1_000)
        assertTrue(probe.startProbeIfDue(nowMillis = 1_000))
        assertFalse(probe.onProbeResult(isWorking = false, nowMillis = 1_010))
        probe.onReceived(nowMillis = 1_015)
        assertFalse(probe.startProbeIfDue(nowMillis = 2_014))
        assertTrue(probe.startProbeIfDue(nowMillis = 2_015))
        assertFalse(probe.onProbeResult(isWorking = false, nowMillis = 2_020), "doubt starts anew")
    }

    @Test
    fun `a connection that was heard during the probe is kept`() {
        val probe = SilentConnectionDetector(sentAtMillis = 0, silenceMillis = 1_000)
        assertTrue(probe.startProbeIfDue(nowMillis = 1_000))
        probe.onReceived(nowMillis = 1_010)
        assertFalse(probe.onProbeResult(isWorking = false, nowMillis = 1_020))
    }
}
