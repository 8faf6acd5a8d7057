package dev.cardamomlane.standin.platform

import dev.cardamomlane.standin.settings.SocketAddress
import dev.cardamomlane.store.ConditionalWrite
import dev.cardamomlane.store.DynamoPlatformTable
import dev.cardamomlane.store.DynamoSettings
import dev.cardamomlane.store.PlatformUnavailableException
import dev.cardamomlane.store.Row
import dev.cardamomlane.store.WriteOutcome
import kotlinx.collections.immutable.persistentListOf
import java.net.URI
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** Tests the DynamoDB adapter of the daemons against the stand-in's table. */
class DynamoAdapterTest {
    private val server = PlatformServer(
        SocketAddress("127.0.0.1", 0),
        TableService("t"),
        HostListService(emptyList(), lagMillis = 0),
        PlatformFaults(),
    ).apply { start() }
    private val table = DynamoPlatformTable(
        DynamoSettings(URI("http://${server.address}"), "t", "local", "a", "s", TIMEOUT_MILLIS),
    )

    @AfterTest
    fun close() {
        table.close()
        server.close()
    }

    @Test
    fun `writes, reads and deletes by version`() {
        assertEquals(WriteOutcome.Applied, write("1", ConditionalWrite("p/a", 0, "{}")))
        assertEquals(Row("p/a", 1, "{}"), table.get("p/a").block())
        assertEquals(WriteOutcome.Conflict(persistentListOf("p/a")), write("2", ConditionalWrite("p/a", 0, "{}")))
        assertEquals(WriteOutcome.Applied, write("3", ConditionalWrite("p/a", 1, null)))
        assertEquals(null, table.get("p/a").block())
    }

    @Test
    fun `scans more rows than fit into one page`() {
        val large = "x".repeat(300_000)
        for (name in 1..5) write("$name", ConditionalWrite("p/r/$name", 0, large))

        assertEquals(5, table.scan("p/r/").count().block())
    }

    @Test
    fun `after a lost answer the write is in effect and can be retried with the same token`() {
        val write = ConditionalWrite("p/a", 0, "{}")
        server.faults.loseAnswers(1)

        assertFailsWith<PlatformUnavailableException> { write("1", write) }
        assertEquals(WriteOutcome.Applied, write("1", write))
        assertEquals(1, table.get("p/a").block()?.version)
    }

    @Test
    fun `a write in an outage has no effect`() {
        server.faults.startOutage(millis = null)
        assertFailsWith<PlatformUnavailableException> { write("1", ConditionalWrite("p/a", 0, "{}")) }
        server.faults.heal()

        assertEquals(null, table.get("p/a").block())
    }

    private fun write(token: String, write: ConditionalWrite): WriteOutcome? = table.write(listOf(write), token).block()

    private companion object {
        /** Must exceed the time that the first call takes to load the client's classes on a busy machine. */
        const val TIMEOUT_MILLIS = 8_000L
    }
}
