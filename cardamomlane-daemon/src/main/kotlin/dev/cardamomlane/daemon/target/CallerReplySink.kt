package dev.cardamomlane.daemon.target

import io.netty.buffer.ByteBuf

/** Receives the replies to one unit of a caller. Called on the event loop of the connection. */
internal interface CallerReplySink {
    /** Takes one frame for the caller. This object must release it. */
    fun onFrame(frame: ByteBuf)

    /** Takes the ReadyForQuery that ends the unit. This object must release it. */
    fun onReady(frame: ByteBuf)

    /** The connection closed before the unit ended. */
    fun onLost(cause: Throwable?)
}
