package dev.cardamomlane.core.retry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RetryTest {
    @Test
    fun `a request runs again only if it did not run or may run more than once`() {
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
    fun `retries are limited to a fraction of the requests`() {
        val budget = RetryBudget(ratio = 0.1, maxRetries = 20.0)
        val granted = (1..1_000).count {
            budget.onRequest()
            budget.tryRetry()
        }
        assertTrue(granted in 115..121, "$granted retries")
    }

    @Test
    fun `a slow target may go on and a connection is given up after two failed probes`() {
        val detector = SilentConnectionDetector(sentAtMillis = 0, silenceMillis = 1_000)
        assertFalse(detector.startProbeIfDue(nowMillis = 999))
        assertTrue(detector.startProbeIfDue(nowMillis = 1_000))
        assertFalse(detector.startProbeIfDue(nowMillis = 1_010), "while a probe is pending")
        assertFalse(detector.onProbeResult(isWorking = true, nowMillis = 1_020))
        assertTrue(detector.startProbeIfDue(nowMillis = 2_020))
        assertFalse(
            detector.onProbeResult(isWorking = false, nowMillis = 2_030),
            "the first failed probe, as the answer may still arrive",
        )
        assertFalse(detector.startProbeIfDue(nowMillis = 2_229))
        assertTrue(detector.startProbeIfDue(nowMillis = 2_230))
        assertTrue(detector.onProbeResult(isWorking = false, nowMillis = 2_240))
    }

    @Test
    fun `an answer that arrives just after a failed probe keeps the connection`() {
        val detector = SilentConnectionDetector(sentAtMillis = 0, silenceMillis = 1_000)
        assertTrue(detector.startProbeIfDue(nowMillis = 1_000))
        assertFalse(detector.onProbeResult(isWorking = false, nowMillis = 1_010))
        detector.onReceived(nowMillis = 1_015)
        assertFalse(detector.startProbeIfDue(nowMillis = 2_014))
        assertTrue(detector.startProbeIfDue(nowMillis = 2_015))
        assertFalse(detector.onProbeResult(isWorking = false, nowMillis = 2_020), "the suspicion was cleared")
    }

    @Test
    fun `a connection that delivers something during a probe is kept`() {
        val detector = SilentConnectionDetector(sentAtMillis = 0, silenceMillis = 1_000)
        assertTrue(detector.startProbeIfDue(nowMillis = 1_000))
        detector.onReceived(nowMillis = 1_010)
        assertFalse(detector.onProbeResult(isWorking = false, nowMillis = 1_020))
    }
}
