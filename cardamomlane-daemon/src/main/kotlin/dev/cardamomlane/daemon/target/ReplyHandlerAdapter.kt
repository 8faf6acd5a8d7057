package dev.cardamomlane.daemon.target

import dev.cardamomlane.wire.MessageListener
import io.netty.buffer.ByteBuf

/** Passes all frames of a connection to [handler]. */
internal class ReplyHandlerAdapter(private val handler: ReplyHandler) : MessageListener {
    override fun onFrame(frame: ByteBuf) = handler.onFrame(frame)

    override fun onClosed(cause: Throwable?) = handler.onLost(cause)
}
