package dev.cardamomlane.wire

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import reactor.netty.Connection
import reactor.netty.DisposableServer
import reactor.netty.tcp.TcpServer
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class NettyMessageLinkTest {
    private val servers = ArrayList<DisposableServer>()

    @AfterEach
    fun close() = servers.forEach { it.disposeNow() }

    // A listener that threw was called no more while its connection stayed open, so the other end waited for good.
    @TestFactory
    fun `a listener that throws loses its connection and is told once`() =
        listOf(IllegalArgumentException("odd"), NumberFormatException("odd"), StackOverflowError()).map { error ->
            DynamicTest.dynamicTest(error.javaClass.simpleName) {
                val listener = Recorder { throw error }
                val end = exchange(FrameDecoders.typed(MAX_BYTES), frame('Q', length = 5, body = 1), listener)

                assertEquals(END_OF_STREAM, end)
                assertEquals(error, listener.closedWith())
                assertNull(listener.closes.poll(), "onClosed was called twice")
            }
        }

    // The reader ended at a length that no message can have, but the connection stayed open.
    @TestFactory
    fun `a length that no message can have closes the connection`() = listOf(0, 3, -1, Int.MIN_VALUE, Int.MAX_VALUE)
        .flatMap { length ->
            listOf(
                "typed" to { exchange(FrameDecoders.typed(MAX_BYTES), frame('Q', length, body = 1), Recorder {}) },
                "startup" to { exchange(FrameDecoders.startup(), frame(null, length, body = 1), Recorder {}) },
            ).map { (kind, run) -> DynamicTest.dynamicTest("$kind, $length") { assertEquals(END_OF_STREAM, run()) } }
        }

    /** Sends [bytes] to a server with [decoder] and returns what the client reads: the end of the stream is -1. */
    private fun exchange(decoder: ChannelHandler, bytes: ByteArray, listener: MessageListener): Int {
        val server = TcpServer.create().host("127.0.0.1").port(0)
            .doOnConnection { accept(it, decoder, listener) }
            .bindNow()
        servers += server
        return Socket("127.0.0.1", server.port()).use { socket ->
            socket.soTimeout = TIMEOUT_MILLIS
            socket.getOutputStream().write(bytes)
            socket.getInputStream().read()
        }
    }

    private fun accept(connection: Connection, decoder: ChannelHandler, listener: MessageListener) {
        connection.addHandlerLast("frames", decoder)
        NettyMessageLink(connection).receive(listener)
    }

    private fun frame(type: Char?, length: Int, body: Int): ByteArray {
        val header = listOf(24, 16, 8, 0).map { (length ushr it).toByte() }
        return listOfNotNull(type?.code?.toByte()).toByteArray() + header + ByteArray(body)
    }

    private class Recorder(private val handle: () -> Unit) : MessageListener {
        val closes = LinkedBlockingQueue<Throwable>()

        override fun onFrame(frame: ByteBuf) {
            frame.release()
            handle()
        }

        override fun onClosed(cause: Throwable?) {
            closes += cause ?: IllegalStateException("closed without a cause")
        }

        fun closedWith(): Throwable =
            assertNotNull(closes.poll(TIMEOUT_MILLIS.toLong(), TimeUnit.MILLISECONDS), "onClosed was not called")
    }

    private companion object {
        const val MAX_BYTES = 1_000
        const val END_OF_STREAM = -1

        /** Ends a test whose connection stays open. */
        const val TIMEOUT_MILLIS = 5_000
    }
}
