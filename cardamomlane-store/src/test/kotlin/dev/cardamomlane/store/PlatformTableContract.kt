package dev.cardamomlane.store

import kotlinx.collections.immutable.persistentListOf
import reactor.core.publisher.Mono
import java.util.UUID
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Tests that every implementation of [PlatformTable] must pass. Each test uses its own partition. */
abstract class PlatformTableContract {
    private val partition = "t" + UUID.randomUUID().toString()

    abstract val table: PlatformTable

    protected fun key(name: String) = "$partition/$name"

    protected fun token() = UUID.randomUUID().toString()

    protected fun write(vararg writes: ConditionalWrite, token: String = token()): WriteOutcome =
        table.write(writes.toList(), token).block()!!

    protected fun get(name: String): Row? = table.get(key(name)).block()

    @Test
    fun `an absent row reads as empty`() = assertNull(get("a"))

    @Test
    fun `a row written once has version one`() {
        assertEquals(WriteOutcome.Applied, write(ConditionalWrite(key("a"), 0, "{}")))

        assertEquals(Row(key("a"), 1, "{}"), get("a"))
    }

    @Test
    fun `a write expecting another version conflicts and changes nothing`() {
        write(ConditionalWrite(key("a"), 0, "1"))

        for (expected in listOf(0L, 2L)) {
            val outcome = write(ConditionalWrite(key("a"), expected, "2"))
            assertEquals(WriteOutcome.Conflict(persistentListOf(key("a"))), outcome)
        }
        assertEquals("1", get("a")?.value)
    }

    @Test
    fun `a conflict in one row prevents all writes and names that row`() {
        write(ConditionalWrite(key("a"), 0, "1"))

        val outcome =
            write(
                ConditionalWrite(key("b"), 0, "1"),
                ConditionalWrite(key("a"), 5, "2"),
            )

        assertEquals(WriteOutcome.Conflict(persistentListOf(key("a"))), outcome)
        assertNull(get("b"))
    }

    @Test
    fun `a null value deletes the row of the expected version`() {
        write(ConditionalWrite(key("a"), 0, "1"))

        assertEquals(WriteOutcome.Applied, write(ConditionalWrite(key("a"), 1, null)))
        assertNull(get("a"))
        assertEquals(WriteOutcome.Applied, write(ConditionalWrite(key("a"), 0, "again")))
    }

    @Test
    fun `a retry with the same token is applied without a further write`() {
        val token = token()
        val write = ConditionalWrite(key("a"), 0, "1")
        write(write, token = token)
        write(ConditionalWrite(key("a"), 1, "2"))

        assertEquals(WriteOutcome.Applied, write(write, token = token))
        assertEquals(Row(key("a"), 2, "2"), get("a"))
    }

    @Test
    fun `exactly one of many concurrent writes of the same version is applied`() {
        write(ConditionalWrite(key("a"), 0, "0"))
        val writers = (1..8).map { table.write(listOf(ConditionalWrite(key("a"), 1, "$it")), token()) }

        val outcomes = Mono.zip(writers) { it.toList() }.block()!!

        assertEquals(1, outcomes.count { it == WriteOutcome.Applied })
        assertEquals(2, get("a")?.version)
    }

    @Test
    fun `scan returns the rows with a prefix in the order of their keys`() {
        for (name in listOf("b/2", "b/1", "b/10", "c/1")) write(ConditionalWrite(key(name), 0, name))

        val found = table.scan(key("b/")).collectList().block()!!

        assertEquals(listOf("b/1", "b/10", "b/2"), found.map { it.value })
    }

    @Test
    fun `scan returns more rows than fit into one page`() {
        val large = "x".repeat(300_000)
        for (name in 1..5) write(ConditionalWrite(key("r/$name"), 0, large))

        assertEquals(5, table.scan(key("r/")).count().block())
    }
}
