package dev.cardamomlane.daemon.target

import dev.cardamomlane.wire.MessageListener
import io.netty.buffer.ByteBuf

/** Passes all frames of a connection to one [ReplyHandler], for a connection that sends a single query. */
internal class ReplyHandlerAdapter(private val handler: ReplyHandler) : MessageListener {
    override fun onFrame(frame: ByteBuf) = handler.onFrame(frame)

    override fun onClosed(cause: Throwable?) = handler.onLost(cause)
}
