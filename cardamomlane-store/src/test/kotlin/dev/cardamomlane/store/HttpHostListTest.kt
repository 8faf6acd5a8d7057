package dev.cardamomlane.store

import dev.cardamomlane.core.AvailabilityZone
import dev.cardamomlane.core.HostId
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.AfterEach
import reactor.core.publisher.Mono
import reactor.netty.http.server.HttpServer
import java.net.URI
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class HttpHostListTest {
    private var status = 200
    private var body: Mono<String> = Mono.just("[]")
    private val server =
        HttpServer.create().host("127.0.0.1").port(0)
            .handle { _, response -> response.status(status).sendString(body) }
            .bindNow()
    private val list = HttpHostList(URI("http://127.0.0.1:${server.port()}/hosts"), timeoutMillis = 2_000)

    @AfterEach
    fun close() = server.disposeNow()

    @Test
    fun `reads the listed hosts and ignores unknown fields`() {
        val host = """"host":"host-1","availabilityZone":"koper""""
        val addresses = """"peerAddress":"127.0.0.1:1","adminAddress":"127.0.0.1:2""""
        body = Mono.just("""[{$host,$addresses,"state":"LEAVING","since":3}]""")

        val expected =
            ListedHost(HostId("host-1"), AvailabilityZone("koper"), "127.0.0.1:1", "127.0.0.1:2", HostState.LEAVING)
        assertEquals(persistentListOf(expected), list.hosts().block())
    }

    @Test
    fun `a host without a state is live`() {
        body = Mono.just("""[{"host":"h","availabilityZone":"a","peerAddress":"p","adminAddress":"q"}]""")

        assertEquals(HostState.LIVE, list.hosts().block()?.single()?.state)
    }

    @Test
    fun `a response that is not a list of hosts is unavailable`() {
        for (bad in listOf("{}", "", "[{}]", "no json")) {
            body = Mono.just(bad)
            assertFailsWith<PlatformUnavailableException>(bad) { list.hosts().block() ?: error("empty") }
        }
        status = 500
        assertFailsWith<PlatformUnavailableException> { list.hosts().block() }
    }

    // One odd entry hid every host from lanectl.
    @Test
    fun `an odd entry loses only itself`() {
        val addresses = """"availabilityZone":"a","peerAddress":"p","adminAddress":"q""""
        val good = """{"host":"h",$addresses}"""
        val nested = "[".repeat(60) + "]".repeat(60)
        for (odd in listOf(
            "{}",
            "1e999",
            "null",
            nested,
            """{"host":" ",$addresses}""",
            """{"host":[],$addresses}""",
        )) {
            body = Mono.just("[$odd,$good]")
            assertEquals(listOf(HostId("h")), list.hosts().block()?.map { it.host }, odd)
        }
    }

    // A deeply nested response overflows the stack of a recursive parser, and no handler is called for that error.
    @Test
    fun `a deeply nested response is unavailable`() {
        body = Mono.just("[".repeat(60_000))
        assertFailsWith<PlatformUnavailableException> { list.hosts().block() }
    }
}
