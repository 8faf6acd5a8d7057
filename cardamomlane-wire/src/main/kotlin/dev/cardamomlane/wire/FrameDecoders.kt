package dev.cardamomlane.wire

import io.netty.channel.ChannelHandler

/**
 * Netty handlers that split the byte stream into whole messages.
 *
 * A frame starts with its header: a type byte and four length bytes, or only the length bytes before startup ends.
 * A frame above the limit makes Netty throw `TooLongFrameException`, and a length that no message of the protocol has
 * makes it throw `CorruptedFrameException`.
 */
public object FrameDecoders {
    /** The size of the header of a typed message: type and length. */
    public const val HEADER_BYTES: Int = 5

    /** The largest startup message that PostgreSQL accepts, in bytes. */
    public const val MAX_STARTUP_BYTES: Int = 10_000

    /** Splits startup messages, which have no type byte. */
    public fun startup(): StartupFrameDecoder = StartupFrameDecoder(MAX_STARTUP_BYTES)

    /** Splits typed messages of at most [maxBytes], header included. */
    public fun typed(maxBytes: Int): ChannelHandler {
        require(maxBytes > HEADER_BYTES) { "maxBytes must exceed $HEADER_BYTES but was $maxBytes" }
        return TypedFrameDecoder(maxBytes)
    }
}
