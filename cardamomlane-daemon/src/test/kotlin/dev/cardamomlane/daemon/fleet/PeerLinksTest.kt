package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.ManualTimerService
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.wire.peer.PeerMessage
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals

class PeerLinksTest {
    private val left = MemberId(HostId("left"), incarnation = 1)
    private val right = MemberId(HostId("right"), incarnation = 1)
    private val started = ArrayList<PeerLinks>()

    @AfterEach
    fun stop() = started.forEach { it.stop() }

    // One odd message ended the link between two hosts; with each heartbeat it was opened and ended again.
    @TestFactory
    fun `a message whose handling fails does not end the link`() =
        listOf(IllegalArgumentException("odd"), IllegalStateException("odd"), StackOverflowError()).map { failure ->
            DynamicTest.dynamicTest(failure.javaClass.simpleName) {
                val received = LinkedBlockingQueue<PeerMessage>()
                val address = InetSocketAddress(InetAddress.getLoopbackAddress(), freePort())
                links(right) { _, message ->
                    received += message
                    if (received.size == 1) throw failure
                }.start(address)
                val sender = links(left, addressOf = "127.0.0.1:${address.port}") { _, _ -> }
                val messages = List(3) { PeerMessage.CancelForward(it, 0) }
                messages.forEach { sender.send(right, it) }

                assertEquals(messages, List(3) { received.poll(5, TimeUnit.SECONDS) })
            }
        }

    private fun links(self: MemberId, addressOf: String? = null, listener: PeerListener): PeerLinks {
        val meters = PeerMeters(SimpleMeterRegistry())
        return PeerLinks(self, "secret", ManualTimerService(), meters, { addressOf }, listener).also { started += it }
    }

    private fun freePort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
}
