package dev.cardamomlane.standin.lane.store

import dev.cardamomlane.core.ManualTimerService
import dev.cardamomlane.standin.lane.wire.PlatformWords
import reactor.core.publisher.Mono
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** The calls of the platform's store: times, limits and the feed. */
class StoreCallsTest {
    private val timers = ManualTimerService()
    private val store = RowStore()
    private val calls = StoreCalls(store, timers, PartQueues(timers, transactionMillis = 100))

    /** The answer of a call once it is there. */
    private class Pending(call: Mono<StoreAnswer>) {
        var answer: StoreAnswer? = null
            private set

        init {
            call.subscribe { answer = it }
        }
    }

    private fun write(key: String = "a", table: String = "t", part: String = "") =
        RowTransaction(upserts = listOf(StoreRow(table, part, key, value = "dg==")))

    @Test
    fun `a transaction takes its time`() {
        val call = Pending(calls.transact(write()))
        timers.advance(99)
        assertNull(call.answer)
        timers.advance(1)
        assertEquals(200, call.answer?.status)
        assertEquals(2, call.answer?.body?.version)
    }

    @Test
    fun `transactions of one part run one after another and others beside them`() {
        val first = Pending(calls.transact(write()))
        val second = Pending(calls.transact(write()))
        val other = Pending(calls.transact(write(part = "p")))
        timers.advance(100)
        assertEquals(listOf(200, null, 200), listOf(first, second, other).map { it.answer?.status })
        timers.advance(100)
        assertEquals(200, second.answer?.status)
    }

    @Test
    fun `a part refuses transactions when more than a second of them waits`() {
        repeat(11) { Pending(calls.transact(write())) }
        assertEquals(429, Pending(calls.transact(write())).answer?.status)
    }

    @Test
    fun `a transaction over several parts must say so and takes twice as long`() {
        val rows = listOf(StoreRow("t", "p", "a"), StoreRow("t", "q", "a"))
        assertEquals(400, Pending(calls.transact(RowTransaction(upserts = rows))).answer?.status)
        val call = Pending(calls.transact(RowTransaction(upserts = rows, isAcrossParts = true)))
        timers.advance(199)
        assertNull(call.answer)
        timers.advance(1)
        assertEquals(200, call.answer?.status)
    }

    @Test
    fun `a failed precondition is answered with the present rows`() {
        store.put("t", "a", byteArrayOf(1))
        val call = Pending(calls.transact(write().copy(preconditions = listOf(StoreRow("t", key = "a", version = 9)))))
        timers.advance(100)
        assertEquals(412, call.answer?.status)
        assertEquals(listOf("a"), call.answer?.body?.rows?.map(StoreRow::key))
    }

    @Test
    fun `the tables of the operator and of the targets can't be written`() {
        listOf(PlatformWords.OPERATOR_TABLE, PlatformWords.TARGET_TABLE).forEach { table ->
            assertEquals(403, Pending(calls.transact(write(table = table))).answer?.status)
        }
    }

    @Test
    fun `more than a hundred entries are refused`() {
        val rows = List(101) { StoreRow("t", key = "$it") }
        assertEquals(400, Pending(calls.transact(RowTransaction(upserts = rows))).answer?.status)
    }

    @Test
    fun `the feed answers as soon as there is a change of its table`() {
        val call = Pending(calls.feed("t", after = 1, waitMillis = 1_000))
        store.put("u", "a", byteArrayOf(1))
        assertNull(call.answer)
        store.put("t", "b", byteArrayOf(1))
        assertEquals(listOf("b"), call.answer?.body?.rows?.map(StoreRow::key))
    }

    @Test
    fun `the feed answers with changes that are there and with none at the end of its wait`() {
        store.put("t", "a", byteArrayOf(1))
        assertEquals(1, Pending(calls.feed("t", after = 1, waitMillis = 1_000)).answer?.body?.rows?.size)
        val call = Pending(calls.feed("t", after = 2, waitMillis = 1_000))
        timers.advance(1_000)
        assertEquals(emptyList(), call.answer?.body?.rows)
    }

    @Test
    fun `the feed says when the history is gone, also while it waits`() {
        store.put("t", "a", byteArrayOf(1))
        val waiting = Pending(calls.feed("t", after = 2, waitMillis = 1_000))
        val copy = store.copy()
        store.put("u", "b", byteArrayOf(1))
        store.restore(copy)
        store.discardHistory()
        assertEquals(410, Pending(calls.feed("t", after = 1, waitMillis = 0)).answer?.status)
        timers.advance(1_000)
        assertEquals(200, waiting.answer?.status)
    }

    @Test
    fun `an answer is given at most once`() {
        val call = Pending(calls.feed("t", after = 1, waitMillis = 1_000))
        store.put("t", "a", byteArrayOf(1))
        val first = call.answer
        store.put("t", "b", byteArrayOf(1))
        timers.advance(2_000)
        assertEquals(first, call.answer)
    }
}
