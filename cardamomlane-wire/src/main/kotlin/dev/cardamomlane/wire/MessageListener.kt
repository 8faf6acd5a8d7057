package dev.cardamomlane.wire

import io.netty.buffer.ByteBuf

/** Receives the frames and events of a [MessageLink], on its event loop thread. */
public interface MessageListener {
    /** Receives one whole frame, header included, and takes ownership of it. */
    public fun onFrame(frame: ByteBuf)

    /** [MessageLink.isWritable] became true again. */
    public fun onWritable() {}

    /** The connection closed, or failed with [cause]. Called once, after every other call. */
    public fun onClosed(cause: Throwable?)
}
