package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.FrontendMessage
import dev.cardamomlane.wire.MalformedMessageException
import io.netty.buffer.ByteBuf

/** Groups a caller's messages into units. Owns the frames of the unit that is not complete yet. */
internal class UnitAssembler(private val maxUnitBytes: Int) {
    private var frames = mutableListOf<UnitFrame>()
    private var unitBytes = 0

    /**
     * Takes the ownership of [frame], and returns the unit that it completes, or null if the unit needs more messages.
     *
     * @throws MalformedMessageException if the messages of one unit exceed the limit, or a Query follows extended
     *   messages without a Sync
     */
    fun add(message: FrontendMessage, frame: ByteBuf): StatementUnit? {
        frames += UnitFrame(message, frame)
        unitBytes += frame.readableBytes()
        if (unitBytes > maxUnitBytes) throw MalformedMessageException("messages before Sync exceed $maxUnitBytes bytes")
        val ends = message is FrontendMessage.Sync || (message is FrontendMessage.Query && frames.size == 1)
        if (message is FrontendMessage.Query && !ends) {
            throw MalformedMessageException("a Query came before the Sync of extended messages")
        }
        return if (ends) take() else null
    }

    /** Releases the frames of the incomplete unit. */
    fun release() = take().release()

    private fun take(): StatementUnit {
        val unit = StatementUnit(frames)
        frames = mutableListOf()
        unitBytes = 0
        return unit
    }
}
