package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.BackendWriter
import dev.cardamomlane.wire.Column
import dev.cardamomlane.wire.FrameDecoders
import dev.cardamomlane.wire.FrontendMessage
import dev.cardamomlane.wire.ServerError
import dev.cardamomlane.wire.StartupMessage
import dev.cardamomlane.wire.TransactionStatus
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import reactor.netty.Connection
import reactor.netty.DisposableServer
import reactor.netty.tcp.TcpServer
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * A target that answers simple queries by a script, and records the statements of callers that it received.
 *
 * @param applied the term and offset that its position check answers
 * @param confirm whether it confirms writes; null closes the connection instead of an answer
 * @param script the answer to each statement that is not one of the daemon's own queries
 */
internal class FakeTarget(
    private val applied: String = "1:10",
    private val fenceTerm: Long = 1,
    private val confirm: Boolean? = true,
    private val script: (String) -> Answer,
) : AutoCloseable {
    sealed interface Answer {
        data class Rows(val values: List<String>) : Answer

        data class Done(val tag: String) : Answer

        data class Error(val error: ServerError) : Answer

        /** Sends the rows, then closes the connection before the end of the answer. */
        data class RowsThenClose(val values: List<String>) : Answer

        data object Close : Answer

        /** Sends a ReadyForQuery that belongs to nothing, then the rows. */
        data class RowsAfterReady(val values: List<String>) : Answer

        /** Sends the rows twice, the second time [REPEAT_MILLIS] later. */
        data class RowsTwice(val values: List<String>) : Answer

        /** Sends the rows once a cancel request has arrived. */
        data class RowsOnCancel(val values: List<String>) : Answer
    }

    val statements = CopyOnWriteArrayList<String>()

    /** The number of the connection on which each of [statements] arrived. */
    val connectionsOfStatements = CopyOnWriteArrayList<Int>()
    private val accepted = AtomicInteger()
    private val untilCancel = CopyOnWriteArrayList<() -> Unit>()
    private val server: DisposableServer = checkNotNull(
        TcpServer.create().host("127.0.0.1").port(0).doOnConnection { accept(it) }.bind().block(),
    )
    val address: InetSocketAddress get() = server.address() as InetSocketAddress

    override fun close() = server.disposeNow()

    private fun accept(connection: Connection) {
        connection.addHandlerLast(FRAMES, FrameDecoders.startup())
        var started = false
        val number = accepted.incrementAndGet()
        connection.inbound().receive().subscribe { frame ->
            if (started) {
                answer(connection, number, FrontendMessage.decode(frame))
            } else if (StartupMessage.decode(frame) is StartupMessage.Cancel) {
                untilCancel.forEach { it() }
                untilCancel.clear()
            } else {
                started = true
                connection.channel().pipeline().replace(FRAMES, FRAMES, FrameDecoders.typed(1 shl 20))
                val out = BackendWriter.authenticationOk(Unpooled.buffer())
                BackendWriter.parameterStatus(out, "server_version", "15.0")
                BackendWriter.parameterStatus(out, "client_encoding", "UTF8")
                BackendWriter.parameterStatus(out, "standard_conforming_strings", "on")
                send(connection, ready(BackendWriter.backendKeyData(out, 1, 2)))
            }
        }
    }

    private fun answer(connection: Connection, number: Int, message: FrontendMessage) {
        val sql = (message as? FrontendMessage.Query)?.sql ?: return
        when {
            sql.contains("cardamomlane_position") -> {
                val (term, offset) = applied.split(':')
                send(connection, ready(rows(listOf(term, offset, "primary", fenceTerm.toString()))))
            }
            sql.contains("cardamomlane_confirm") -> when (confirm) {
                null -> connection.channel().close()
                else -> send(connection, ready(rows(listOf("1", "11", if (confirm) "t" else "f"))))
            }
            sql.startsWith("SET ") -> send(connection, ready(BackendWriter.commandComplete(Unpooled.buffer(), "SET")))
            else -> {
                statements += sql
                connectionsOfStatements += number
                answer(connection, script(sql))
            }
        }
    }

    private fun answer(connection: Connection, answer: Answer) {
        when (answer) {
            is Answer.Rows -> send(connection, ready(BackendWriter.commandComplete(rows(answer.values), "SELECT 1")))
            is Answer.Done -> send(connection, ready(BackendWriter.commandComplete(Unpooled.buffer(), answer.tag)))
            is Answer.Error -> send(connection, ready(BackendWriter.error(Unpooled.buffer(), answer.error)))
            is Answer.RowsThenClose -> {
                send(connection, rows(answer.values))
                connection.channel().close()
            }
            is Answer.RowsAfterReady -> {
                send(connection, ready(Unpooled.buffer()))
                answer(connection, Answer.Rows(answer.values))
            }
            is Answer.RowsTwice -> {
                val rows = Answer.Rows(answer.values)
                answer(connection, rows)
                connection.channel().eventLoop()
                    .schedule({ answer(connection, rows) }, REPEAT_MILLIS, TimeUnit.MILLISECONDS)
            }
            is Answer.RowsOnCancel -> untilCancel += { answer(connection, Answer.Rows(answer.values)) }
            Answer.Close -> connection.channel().close()
        }
    }

    private fun rows(values: List<String>): ByteBuf {
        val out = BackendWriter.rowDescription(Unpooled.buffer(), values.indices.map { Column("c$it", TEXT_OID) })
        return BackendWriter.dataRow(out, values.map { it.toByteArray() })
    }

    private fun ready(out: ByteBuf) = BackendWriter.readyForQuery(out, TransactionStatus.IDLE)

    private fun send(connection: Connection, out: ByteBuf) {
        connection.channel().writeAndFlush(out)
    }

    companion object {
        const val REPEAT_MILLIS = 30L
        private const val FRAMES = "frames"
        private const val TEXT_OID = 25
    }
}
