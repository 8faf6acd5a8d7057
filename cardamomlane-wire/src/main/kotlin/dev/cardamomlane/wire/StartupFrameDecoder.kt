package dev.cardamomlane.wire

import io.netty.handler.codec.LengthFieldBasedFrameDecoder

/** Splits startup messages of at most [maxBytes]; they have no type byte. */
public class StartupFrameDecoder internal constructor(maxBytes: Int) :
    LengthFieldBasedFrameDecoder(maxBytes, 0, 4, -4, 0) {
    /** True when bytes have arrived behind the message that is being handled. */
    public val hasBufferedBytes: Boolean get() = actualReadableBytes() > 0
}
