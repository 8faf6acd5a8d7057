package dev.cardamomlane.core.queue

import dev.cardamomlane.core.queue.ConnectionAction.Assign
import dev.cardamomlane.core.queue.ConnectionAction.Close
import dev.cardamomlane.core.queue.ConnectionAction.Open
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EstimatingConnectionBudgetTest {
    private val budget =
        EstimatingConnectionBudget(share = 2, openMillis = 12, keepIdleMillis = 1_000, retryMillis = 50)

    @Test
    fun `opens a connection for the first request and assigns it when it is open`() {
        assertEquals(actions(Open(1)), budget.request(requestId = 7, nowMillis = 0))
        assertEquals(
            actions(Assign(connectionId = 1, requestId = 7)),
            budget.opened(connectionId = 1, nowMillis = 12),
        )
    }

    @Test
    fun `assigns the idle connection that was used last`() {
        hold(connectionId = 1, requestId = 1)
        hold(connectionId = 2, requestId = 2)
        budget.released(connectionId = 2, nowMillis = 20)
        budget.released(connectionId = 1, nowMillis = 21)

        assertEquals(actions(Assign(connectionId = 1, requestId = 3)), budget.request(requestId = 3, nowMillis = 22))
    }

    @Test
    fun `waits for a held connection that is expected to be released sooner than one could be opened`() {
        hold(connectionId = 1, requestId = 1)
        budget.released(connectionId = 1, nowMillis = 17)
        budget.request(requestId = 2, nowMillis = 17)

        assertEquals(actions(), budget.request(requestId = 3, nowMillis = 17))
        assertEquals(
            actions(Assign(connectionId = 1, requestId = 3)),
            budget.released(connectionId = 1, nowMillis = 20),
        )
    }

    @Test
    fun `opens another connection when connections are held for longer than opening takes`() {
        hold(connectionId = 1, requestId = 1)
        budget.released(connectionId = 1, nowMillis = 512)
        budget.request(requestId = 2, nowMillis = 512)

        assertEquals(actions(Open(2)), budget.request(requestId = 3, nowMillis = 512))
    }

    @Test
    fun `closes surplus connections after the share shrinks, and held ones at their release`() {
        hold(connectionId = 1, requestId = 1)
        hold(connectionId = 2, requestId = 2)
        budget.released(connectionId = 1, nowMillis = 20)

        assertEquals(actions(Close(1)), budget.setShare(count = 0, nowMillis = 20))
        assertEquals(actions(Close(2)), budget.released(connectionId = 2, nowMillis = 21))
        assertEquals(0, budget.connectionCount)
    }

    @Test
    fun `closes a connection that was idle for too long`() {
        hold(connectionId = 1, requestId = 1)
        budget.released(connectionId = 1, nowMillis = 20)

        assertEquals(actions(), budget.poll(nowMillis = 1_020))
        assertEquals(actions(Close(1)), budget.poll(nowMillis = 1_021))
    }

    @Test
    fun `waits longer after each failure to open`() {
        budget.request(requestId = 1, nowMillis = 0)

        assertEquals(actions(), budget.lost(connectionId = 1, nowMillis = 10))
        assertEquals(actions(Open(2)), budget.poll(nowMillis = 60))
        assertEquals(actions(), budget.lost(connectionId = 2, nowMillis = 70))
        assertEquals(actions(), budget.poll(nowMillis = 169))
        assertEquals(actions(Open(3)), budget.poll(nowMillis = 170))
    }

    @Test
    fun `keeps a connection that was being opened for a withdrawn request`() {
        budget.request(requestId = 1, nowMillis = 0)

        assertTrue(budget.cancel(requestId = 1))
        assertFalse(budget.cancel(requestId = 1))
        assertEquals(actions(), budget.opened(connectionId = 1, nowMillis = 12))
        assertEquals(actions(Assign(connectionId = 1, requestId = 2)), budget.request(requestId = 2, nowMillis = 13))
    }

    @Test
    fun `rejects the release of a connection that nobody holds`() {
        assertFailsWith<IllegalStateException> { budget.released(connectionId = 9, nowMillis = 0) }
    }

    @Property(tries = 300, seed = "20261")
    fun `never has more than its share and gives a connection to one request at a time`(
        @ForAll("steps") steps: List<Int>,
    ) {
        val run = ConnectionBudgetRun(share = 3)
        steps.forEach(run::step)
        run.serveAll()
        assertEquals(0, run.waitingCount, "requests left without a connection")
    }

    @Provide
    fun steps(): Arbitrary<List<Int>> = Arbitraries.integers().between(0, 99).list().ofMaxSize(200)

    private fun actions(vararg actions: ConnectionAction): List<ConnectionAction> = actions.toList()

    private fun hold(connectionId: Long, requestId: Long) {
        assertEquals(actions(Open(connectionId)), budget.request(requestId, nowMillis = 0))
        budget.opened(connectionId, nowMillis = 12)
    }
}
