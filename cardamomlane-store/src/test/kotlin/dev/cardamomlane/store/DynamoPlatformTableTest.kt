package dev.cardamomlane.store

import org.junit.jupiter.api.AfterAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNotNull

class DynamoPlatformTableTest : PlatformTableContract() {
    override val table get() = adapter

    private fun adapterWith(timeoutMillis: Long) = DynamoPlatformTable(
        DynamoSettings(
            server.endpoint,
            "cardamomlane",
            "local",
            "access",
            "secret",
            timeoutMillis = timeoutMillis,
        ),
    )

    @Test
    fun `a write with a lost answer fails and its retry with the same token is applied`() {
        val token = token()
        val write = ConditionalWrite(key("a"), 0, "1")
        server.table.answersToLose = 1

        assertFailsWith<PlatformUnavailableException> { write(write, token = token) }

        assertNotNull(get("a"))
        assertEquals(WriteOutcome.Applied, write(write, token = token))
    }

    @Test
    fun `an error of the service is reported without a retry`() {
        val before = server.table.operationCount
        server.table.requestsToLose = 1

        assertFailsWith<PlatformUnavailableException> { get("a") }

        assertEquals(1, server.table.operationCount - before)
    }

    @Test
    fun `a service that can't be reached is unavailable`() {
        val closedServer = FakeDynamoServer().apply { close() }
        DynamoPlatformTable(DynamoSettings(closedServer.endpoint, "t", "local", "a", "s")).use {
            assertFailsWith<PlatformUnavailableException> { it.get(key("a")).block() }
            assertFailsWith<PlatformUnavailableException> { it.scan(key("a")).blockLast() }
        }
    }

    @Test
    fun `an unanswered request times out and the next one uses a new connection`() {
        adapterWith(timeoutMillis = 300).use { shortTimeoutTable ->
            server.requestsToIgnore = 1
            assertFailsWith<PlatformUnavailableException> { shortTimeoutTable.get(key("a")).block() }
            assertFalse(shortTimeoutTable.get(key("a")).hasElement().block()!!)
        }
    }

    /** Guards against a row that is taken for another one because the answers of a connection are one behind. */
    @Test
    fun `an answer with rows of another request is not believed`() {
        write(ConditionalWrite(key("a"), 0, "1"))
        write(ConditionalWrite(key("b"), 0, "2"))
        adapter.scan(key("a")).blockLast()
        server.isOneBehind = true
        assertFailsWith<PlatformUnavailableException> { adapter.scan(key("b")).blockLast() }

        server.isOneBehind = false
        get("a")
        server.isOneBehind = true
        assertFailsWith<PlatformUnavailableException> { get("b") }

        server.isOneBehind = false
        assertEquals("2", get("b")?.value)
    }

    @Test
    fun `settings show no credentials`() {
        val settings = DynamoSettings(server.endpoint, "cardamomlane", "local", "access", "secret")
        assertFalse("secret" in settings.toString())
    }

    companion object {
        private val server = FakeDynamoServer()
        private val adapter =
            DynamoPlatformTable(
                DynamoSettings(server.endpoint, "cardamomlane", "local", "access", "secret", timeoutMillis = 10_000),
            )

        @JvmStatic
        @AfterAll
        fun close() {
            adapter.close()
            server.close()
        }
    }
}
