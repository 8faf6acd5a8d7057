package dev.cardamomlane.daemon.target

import io.netty.buffer.ByteBuf

/** Takes the answers to one group of messages on a target connection, up to and with its ReadyForQuery. */
internal interface ReplyHandler {
    /** Takes one frame and its ownership. */
    fun onFrame(frame: ByteBuf)

    /** The connection closed before the ReadyForQuery of this segment. Called at most once, last. */
    fun onLost(cause: Throwable?)
}
