package dev.cardamomlane.wire

import io.netty.channel.ChannelHandler
import io.netty.handler.codec.LengthFieldBasedFrameDecoder

/**
 * Netty handlers that cut the byte stream into whole messages.
 *
 * A frame starts with its header: a type byte and four length bytes, or only the length bytes before startup ends.
 * A frame above the limit makes Netty throw `TooLongFrameException`.
 */
public object FrameDecoders {
    /** The bytes before the body of a typed message: type and length. */
    public const val HEADER_BYTES: Int = 5

    /** The largest startup message that PostgreSQL accepts. */
    public const val MAX_STARTUP_BYTES: Int = 10_000

    /** Cuts the messages that open a connection, which have no type byte. */
    public fun startup(): ChannelHandler = LengthFieldBasedFrameDecoder(MAX_STARTUP_BYTES, 0, 4, -4, 0)

    /** Cuts typed messages of at most [maxBytes], header included. */
    public fun typed(maxBytes: Int): ChannelHandler {
        require(maxBytes > HEADER_BYTES) { "maxBytes must exceed $HEADER_BYTES but was $maxBytes" }
        // Reports an oversized frame only after its last byte, since a sender that still writes reads no error.
        return LengthFieldBasedFrameDecoder(maxBytes, 1, 4, -4, 0, false)
    }
}
