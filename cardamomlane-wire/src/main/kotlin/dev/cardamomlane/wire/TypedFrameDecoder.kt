package dev.cardamomlane.wire

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.CorruptedFrameException
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import java.nio.ByteOrder

/**
 * Splits typed messages of at most [maxBytes], header included.
 *
 * An oversized message is reported only after its last byte, because a sender that still writes does not read the
 * error. A length that PostgreSQL itself refuses is reported at once: its bytes never come.
 */
internal class TypedFrameDecoder(maxBytes: Int) : LengthFieldBasedFrameDecoder(maxBytes, 1, 4, -4, 0, false) {
    override fun getUnadjustedFrameLength(buffer: ByteBuf, offset: Int, length: Int, order: ByteOrder): Long {
        val bytes = super.getUnadjustedFrameLength(buffer, offset, length, order)
        if (bytes !in Int.SIZE_BYTES..MAX_LENGTH_BYTES) {
            // Netty calls again as long as bytes are left.
            buffer.skipBytes(buffer.readableBytes())
            throw CorruptedFrameException("a message has the invalid length ${bytes.toInt()}")
        }
        return bytes
    }

    private companion object {
        /** PostgreSQL allocates at most one gibibyte less one byte for a message. */
        const val MAX_LENGTH_BYTES = (1 shl 30) - 1
    }
}
