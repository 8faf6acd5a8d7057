package dev.cardamomlane.wire

import io.netty.buffer.ByteBuf

/** Hears the frames of a [MessageLink]. */
public interface MessageListener {
    /** Takes one whole frame and its ownership. */
    public fun onFrame(frame: ByteBuf)

    /** The far end reads again after [MessageLink.isWritable] was false. */
    public fun onWritable() {}

    /** The connection closed or failed. Called once, last. */
    public fun onClosed(cause: Throwable?)
}
