package dev.cardamomlane.daemon.target

import io.netty.buffer.ByteBuf

/** Hears the answers to one unit of a caller. */
internal interface CallerReplySink {
    /** Takes one frame for the caller and its ownership. */
    fun onFrame(frame: ByteBuf)

    /** Takes the ReadyForQuery that ends the unit, and its ownership. */
    fun onReady(frame: ByteBuf)

    /** The connection closed before the unit ended. */
    fun onLost(cause: Throwable?)
}
