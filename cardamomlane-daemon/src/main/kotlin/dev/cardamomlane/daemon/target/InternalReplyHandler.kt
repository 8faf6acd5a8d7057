package dev.cardamomlane.daemon.target

import dev.cardamomlane.wire.BackendMessage
import dev.cardamomlane.wire.ServerError
import io.netty.buffer.ByteBuf

/** Receives the reply to a query that the daemon itself sent. Nothing of it reaches a caller. */
internal class InternalReplyHandler(
    private val onRow: (BackendMessage.DataRow) -> Unit = {},
    private val onError: (ServerError) -> Unit = {},
    private val onReady: () -> Unit = {},
    private val onLost: () -> Unit = {},
) : ReplyHandler {
    override var isReplied = false
        private set

    override fun onFrame(frame: ByteBuf) {
        if (BackendMessage.typeOf(frame) in REPLIES) isReplied = true
        val message = try {
            BackendMessage.decode(frame)
        } finally {
            frame.release()
        }
        when (message) {
            is BackendMessage.DataRow -> onRow(message)
            is BackendMessage.ErrorResponse -> onError(message.error)
            is BackendMessage.ReadyForQuery -> onReady()
            else -> Unit
        }
    }

    override fun onLost(cause: Throwable?) = onLost()

    private companion object {
        /** DataRow, CommandComplete, ErrorResponse and EmptyQueryResponse, of which each query gets one at least. */
        const val REPLIES = "DCEI"
    }
}
