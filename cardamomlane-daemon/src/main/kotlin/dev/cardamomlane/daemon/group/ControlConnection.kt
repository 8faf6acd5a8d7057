package dev.cardamomlane.daemon.group

import dev.cardamomlane.wire.BackendMessage
import dev.cardamomlane.wire.FrontendWriter
import dev.cardamomlane.wire.MessageListener
import dev.cardamomlane.wire.OpenSession
import io.netty.buffer.ByteBuf
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import reactor.core.publisher.MonoSink
import java.io.IOException

/** One row of a result in text format. SQL NULL is the empty text. */
internal typealias TextRow = ImmutableList<String>

/**
 * A connection that runs control functions of a target. Queries may be sent without waiting for the answers to earlier
 * ones; the answers arrive in the order of the queries. An answer that no query waits for, or a ReadyForQuery before the
 * rest of the answer, closes the connection, since all later ones could be other queries'.
 *
 * To be used on the connection's event loop only. Its owner calls [close].
 */
internal class ControlConnection(private val session: OpenSession) : MessageListener {
    private val pending = ArrayDeque<PendingQuery>()

    val isOpen: Boolean get() = session.link.isOpen

    init {
        session.listen(this)
    }

    /**
     * Runs [sql], which must return one row. It is sent at subscription.
     *
     * Fails with an [IOException] if the server reports an error, returns no row, or the connection is lost.
     */
    fun query(sql: String): Mono<TextRow> = Mono.create { sink ->
        if (!isOpen) return@create sink.error(IOException("the control connection is closed"))
        pending.addLast(PendingQuery(sink))
        session.link.send(FrontendWriter.query(session.link.allocator.buffer(), sql))
    }

    fun close() = session.link.close()

    override fun onFrame(frame: ByteBuf) {
        try {
            onMessage(BackendMessage.decode(frame))
        } finally {
            frame.release()
        }
    }

    override fun onClosed(cause: Throwable?) {
        val lost = pending.toList()
        pending.clear()
        lost.forEach { it.sink.error(IOException("the control connection closed", cause)) }
    }

    private fun onMessage(message: BackendMessage) {
        val query = pending.firstOrNull() ?: return onUnasked(message)
        when (message) {
            is BackendMessage.DataRow -> query.row = message.values.map { it?.decodeToString().orEmpty() }
            is BackendMessage.ErrorResponse -> query.error = message.error.message
            is BackendMessage.CommandComplete -> query.isComplete = true
            is BackendMessage.ReadyForQuery -> {
                if (!query.isReplied) return fail("a ReadyForQuery came before the answer")
                pending.removeFirst()
                query.finish()
            }
            else -> Unit
        }
    }

    private fun onUnasked(message: BackendMessage) {
        val isAllowed = message is BackendMessage.ParameterStatus || message is BackendMessage.Other
        if (!isAllowed) fail("an answer came to no query")
    }

    private fun fail(reason: String) {
        Logger.warn("group: Closing a control connection, {}.", reason)
        session.link.abort()
        onClosed(IOException(reason))
    }

    private class PendingQuery(val sink: MonoSink<TextRow>) {
        var row: List<String>? = null
        var error: String? = null
        var isComplete = false
        val isReplied: Boolean get() = isComplete || row != null || error != null

        fun finish() {
            val answer = row
            if (answer == null) sink.error(IOException(error ?: "no row")) else sink.success(answer.toImmutableList())
        }
    }
}
