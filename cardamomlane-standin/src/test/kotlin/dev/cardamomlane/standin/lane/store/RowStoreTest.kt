package dev.cardamomlane.standin.lane.store

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull

/** Rows, versions and the history of the platform's store. */
class RowStoreTest {
    private val store = RowStore()

    private fun row(key: String, version: Long = 0, part: String = "", value: String? = "dg==") =
        StoreRow(table = "t", part = part, key = key, value = value, version = version)

    @Test
    fun `one counter gives versions to the transactions of all tables`() {
        store.put("t", "a", byteArrayOf(1))
        store.put("u", "a", byteArrayOf(1))
        assertEquals(2, store.find("t", "a")?.version)
        assertEquals(3, store.find("u", "a")?.version)
    }

    @Test
    fun `a transaction applies all of its entries`() {
        store.put("t", "old", byteArrayOf(1))
        val outcome = store.apply(RowTransaction(upserts = listOf(row("a"), row("b")), removals = listOf(row("old"))))
        assertEquals(TransactionOutcome.Applied(3), outcome)
        assertEquals(listOf("a", "b"), keys())
    }

    @Test
    fun `a transaction whose precondition fails applies nothing and returns the present rows`() {
        store.put("t", "a", byteArrayOf(1))
        val transaction = RowTransaction(preconditions = listOf(row("a", version = 1)), upserts = listOf(row("b")))
        val outcome = store.apply(transaction)
        assertEquals(listOf("a"), (outcome as TransactionOutcome.Conflict).rows.map(StoreRow::key))
        assertEquals(listOf("a"), keys())
    }

    @Test
    fun `version 0 in a precondition means that the row is absent`() {
        val transaction = RowTransaction(preconditions = listOf(row("a")), upserts = listOf(row("a")))
        assertEquals(TransactionOutcome.Applied(2), store.apply(transaction))
        assertEquals(1, (store.apply(transaction) as TransactionOutcome.Conflict).rows.size)
    }

    @Test
    fun `a range has ascending keys by bytes and excludes its end`() {
        listOf("b", "é", "a", "Z").forEach { store.put("t", it, byteArrayOf(1)) }
        assertEquals(listOf("Z", "a", "b", "é"), keys())
        assertEquals(listOf("a"), store.range("t", "", "a", "b", limit = 9).rows.map(StoreRow::key))
    }

    @Test
    fun `a range tells whether there is more`() {
        listOf("a", "b", "c").forEach { store.put("t", it, byteArrayOf(1)) }
        assertEquals(true, store.range("t", "", "", null, limit = 2).hasMore)
        assertEquals(false, store.range("t", "", "c", null, limit = 2).hasMore)
    }

    @Test
    fun `a range covers one part and the parts are listed in order`() {
        store.apply(RowTransaction(upserts = listOf(row("a", part = "q"), row("b", part = "p"), row("c"))))
        assertEquals(listOf("b"), store.range("t", "p", "", null, limit = 9).rows.map(StoreRow::key))
        assertEquals(listOf("p", "q"), store.parts("t", after = "", limit = 9))
        assertEquals(listOf("q"), store.parts("t", after = "p", limit = 9))
    }

    @Test
    fun `changes come in order and mark removed rows`() {
        store.put("t", "a", byteArrayOf(1))
        store.put("u", "x", byteArrayOf(1))
        store.remove("t", "a")
        val changes = store.changes("t", after = 1)
        assertEquals(listOf(2L to null, 4L to true), changes.map { it.version to it.isDeleted })
    }

    @Test
    fun `changes before a discarded history are not served`() {
        store.put("t", "a", byteArrayOf(1))
        store.discardHistory()
        assertEquals(emptyList(), store.changes("t", after = 2))
        assertFailsWith<IllegalArgumentException> { store.changes("t", after = 1) }
    }

    @Test
    fun `a restored store has the rows and the version of the copy in a new epoch`() {
        store.put("t", "a", byteArrayOf(1))
        val copy = store.copy()
        store.put("t", "b", byteArrayOf(1))
        store.restore(copy)
        assertEquals(listOf("a"), keys())
        assertEquals(2, store.version)
        assertEquals(2, store.epoch)
    }

    @Test
    fun `a version is given out again after a restoration`() {
        val copy = store.copy()
        store.put("t", "a", byteArrayOf(1))
        store.restore(copy)
        store.put("t", "b", byteArrayOf(1))
        assertEquals(2, store.find("t", "b")?.version)
        assertNull(store.find("t", "a"))
    }

    private fun keys() = store.range("t", "", "", null, limit = 9).rows.map(StoreRow::key)
}
