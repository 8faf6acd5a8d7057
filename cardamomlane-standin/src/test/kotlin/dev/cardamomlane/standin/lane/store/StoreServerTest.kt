package dev.cardamomlane.standin.lane.store

import dev.cardamomlane.standin.lane.host.LoopbackNetwork
import dev.cardamomlane.standin.lane.time.LoopTimers
import dev.cardamomlane.standin.lane.wire.PlatformWords
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import reactor.netty.resources.LoopResources
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** The platform's store over HTTP, and its faults. */
class StoreServerTest {
    private val loops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val store = RowStore()
    private val faults = StoreFaults()
    private val server = StoreServer(
        LoopbackNetwork.pick().nextSocketAddress(),
        store,
        faults,
        LoopTimers(loops.next()),
        LoopResources { loops },
        transactionMillis = 0,
    ).apply { start() }
    private val client = HttpClient.newHttpClient()

    @AfterTest
    fun close() {
        server.close()
        loops.shutdownGracefully()
    }

    private fun onLoop(action: () -> Unit) {
        loops.submit(action).get()
    }

    private fun get(path: String): HttpResponse<String> =
        client.send(HttpRequest.newBuilder(uri(path)).build(), HttpResponse.BodyHandlers.ofString())

    private fun write(body: String): HttpResponse<String> = client.send(
        HttpRequest.newBuilder(uri(PlatformWords.TRANSACTION_PATH)).POST(HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString(),
    )

    private fun uri(path: String) = URI("http://${server.address}$path")

    private fun epoch(response: HttpResponse<String>) = response.headers().firstValue(PlatformWords.EPOCH_HEADER).get()

    @Test
    fun `each answer names the epoch, which a restoration raises`() {
        assertEquals("1", epoch(get("${PlatformWords.RANGE_PATH}?table=t")))
        onLoop { store.restore(store.copy()) }
        assertEquals("2", epoch(write(ROW)))
    }

    @Test
    fun `a written row is read again`() {
        assertEquals(200, write(ROW).statusCode())
        assertContains(get("${PlatformWords.RANGE_PATH}?table=t&part=").body(), """"key":"a","value":"dg==","ver":2""")
    }

    @Test
    fun `a foreign writer may store any content`() {
        onLoop { store.put(PlatformWords.TARGET_TABLE, "x", "[".repeat(9_000).toByteArray()) }
        val rows = get("${PlatformWords.FEED_PATH}?table=${PlatformWords.TARGET_TABLE}&after=1")
        assertContains(rows.body(), """"key":"x"""")
    }

    @Test
    fun `a body that can't be read is refused`() {
        assertEquals(400, write("{").statusCode())
    }

    @Test
    fun `an outage refuses calls without effect`() {
        onLoop { faults.outage = StoreOutage.REFUSE }
        assertEquals(503, write(ROW).statusCode())
        assertEquals(1, store.version)
    }

    @Test
    fun `a lost answer belongs to a write that took effect`() {
        onLoop { faults.loseAnswers(1) }
        assertFailsWith<IOException> { write(ROW) }
        assertEquals(2, store.version)
        assertEquals(200, write(ROW).statusCode())
    }

    private companion object {
        const val ROW = """{"upserts":[{"table":"t","part":"","key":"a","value":"dg=="}]}"""
    }
}
