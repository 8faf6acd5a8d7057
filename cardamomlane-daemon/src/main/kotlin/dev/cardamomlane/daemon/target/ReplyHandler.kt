package dev.cardamomlane.daemon.target

import io.netty.buffer.ByteBuf

/** Receives the replies to one group of messages on a target connection, up to and including its ReadyForQuery. */
internal interface ReplyHandler {
    /** Whether all replies before the ReadyForQuery have arrived. */
    val isReplied: Boolean

    /** Takes one frame. This object must release it. */
    fun onFrame(frame: ByteBuf)

    /** The connection closed before the ReadyForQuery of this group. Called at most once, as the last call. */
    fun onLost(cause: Throwable?)
}
