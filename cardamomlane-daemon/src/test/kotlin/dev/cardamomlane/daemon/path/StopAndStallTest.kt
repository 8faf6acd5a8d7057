package dev.cardamomlane.daemon.path

import dev.cardamomlane.wire.FrontendWriter
import dev.cardamomlane.wire.StartupMessage
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.postgresql.util.PSQLException
import java.io.DataInputStream
import java.io.OutputStream
import java.net.Socket
import java.sql.Connection
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Graceful stop under load, callers that do not read their answers, and TLS. */
class StopAndStallTest {
    @Test
    fun `a planned stop cuts no request`() {
        val path = PathFixture()
        val threads = Executors.newFixedThreadPool(CALLERS)
        val started = CountDownLatch(CALLERS)
        val errors = List(CALLERS) { caller ->
            threads.submit<String> { path.connect(0).use { runUntilRefused(it, caller, started) } }
        }
        started.await()
        path.daemons[0].stop()

        assertEquals(List(CALLERS) { "57P01 not run" }, errors.map { it.get() })
        threads.shutdown()
        path.close()
    }

    @Test
    fun `a caller that does not read loses its connection and no other does`() {
        PathFixture("allowPlaintextKeys: true, stallTimeoutMillis: 300").use { path ->
            path.connect(0).use { other ->
                other.createStatement().use {
                    it.execute("INSERT INTO notes(id, body) VALUES ('big', '${"x".repeat(1 shl 20)}')")
                }
                Socket("127.0.0.1", path.callerPort(0)).use { socket ->
                    requestManyRows(socket)
                    path.awaitConnections(daemon = 0, count = 1)
                    assertTrue(readToEnd(socket) < ROWS.toLong() shl 20, "the whole answer came")
                }
                assertEquals(
                    1,
                    other.createStatement().use {
                        it.executeUpdate("INSERT INTO notes(id) VALUES ('after')")
                    },
                )
            }
        }
    }

    @Test
    fun `keys are accepted over TLS only unless plaintext is allowed`() {
        val certificate = PathFixture.resource("test-certificate.pem")
        val key = PathFixture.resource("test-key.pem")
        PathFixture("tlsCertificateFile: $certificate, tlsKeyFile: $key").use { path ->
            path.connect(0, "sslmode=verify-ca&sslrootcert=$certificate").use { connection ->
                assertEquals(
                    1,
                    connection.createStatement().use {
                        it.executeUpdate("INSERT INTO notes(id) VALUES ('tls')")
                    },
                )
            }
            val refused = runCatching { path.connect(0, "sslmode=disable") }.exceptionOrNull() as PSQLException
            assertEquals("08P01", refused.sqlState)
        }
    }

    @Test
    fun `plaintext in the same packet as the TLS request ends the connection without a handshake`() {
        val certificate = PathFixture.resource("test-certificate.pem")
        val key = PathFixture.resource("test-key.pem")
        PathFixture("tlsCertificateFile: $certificate, tlsKeyFile: $key").use { path ->
            Socket("127.0.0.1", path.callerPort(0)).use { socket ->
                val packet = Unpooled.buffer().writeInt(TLS_REQUEST_BYTES).writeInt(TLS_REQUEST_CODE)
                StartupMessage.writeSession(packet, mapOf("user" to "press", "database" to "orders-1"))
                send(socket.getOutputStream(), packet)

                assertEquals('E'.code, socket.getInputStream().read())
                assertTrue(readToEnd(socket) > 0)
            }
        }
    }

    private fun runUntilRefused(connection: Connection, caller: Int, started: CountDownLatch): String {
        try {
            connection.createStatement().use { statement ->
                try {
                    statement.executeUpdate("INSERT INTO notes(id) VALUES ('$caller-first')")
                } finally {
                    started.countDown()
                }
                generateSequence(0) { it + 1 }
                    .forEach { statement.executeUpdate("INSERT INTO notes(id) VALUES ('$caller-$it')") }
            }
            error("the daemon did not end the session")
        } catch (error: PSQLException) {
            return "${error.sqlState} ${error.serverErrorMessage?.detail}"
        }
    }

    /** Requests far more rows than all buffers between target and caller hold, and reads only their description. */
    private fun requestManyRows(socket: Socket) {
        val output = socket.getOutputStream()
        val startup = mapOf("user" to "press", "database" to "orders-1")
        send(output, StartupMessage.writeSession(Unpooled.buffer(), startup))
        assertEquals('R'.code, socket.getInputStream().read())
        send(output, FrontendWriter.password(Unpooled.buffer(), "key-1"))
        val input = DataInputStream(socket.getInputStream())
        input.skipNBytes(REST_OF_PASSWORD_REQUEST_BYTES)
        while (readMessage(input).first != 'Z') Unit
        val sql = "SELECT n.body FROM notes n, system_range(1, $ROWS) WHERE n.id = 'big'"
        send(output, FrontendWriter.query(Unpooled.buffer(), sql))
        val (type, text) = readMessage(input)
        assertEquals('T', type, "the rows were not sent: $text")
    }

    /** The type and the text of the next message. */
    private fun readMessage(input: DataInputStream): Pair<Char, String> {
        val type = input.readUnsignedByte().toChar()
        val body = input.readNBytes(input.readInt() - Int.SIZE_BYTES)
        return type to body.decodeToString().replace('\u0000', ' ')
    }

    private fun send(output: OutputStream, message: ByteBuf) {
        output.write(ByteArray(message.readableBytes()).also { message.readBytes(it) })
        output.flush()
    }

    private fun readToEnd(socket: Socket): Long {
        val buffer = ByteArray(1 shl 16)
        var total = 0L
        while (true) {
            val count = runCatching { socket.getInputStream().read(buffer) }.getOrDefault(-1)
            if (count < 0) return total
            total += count
        }
    }

    private companion object {
        const val TLS_REQUEST_BYTES = 8
        const val TLS_REQUEST_CODE = 80_877_103
        const val CALLERS = 8
        const val ROWS = 64

        /** The bytes after the type of the message that requests the password: length and method. */
        const val REST_OF_PASSWORD_REQUEST_BYTES = 8L
    }
}
