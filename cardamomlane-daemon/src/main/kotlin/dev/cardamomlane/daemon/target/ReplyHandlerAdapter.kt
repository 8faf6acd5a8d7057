package dev.cardamomlane.daemon.target

import dev.cardamomlane.wire.MessageListener
import io.netty.buffer.ByteBuf

/** Gives everything that a connection brings to one segment. */
internal class ReplyHandlerAdapter(private val segment: ReplyHandler) : MessageListener {
    override fun onFrame(frame: ByteBuf) = segment.onFrame(frame)

    override fun onClosed(cause: Throwable?) = segment.onLost(cause)
}
