package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.FrontendMessage
import dev.cardamomlane.wire.MalformedMessageException
import io.netty.buffer.ByteBuf

/** Gathers a caller's messages into units. */
internal class UnitAssembler(private val maxUnitBytes: Int) {
    private var frames = mutableListOf<UnitFrame>()
    private var unitBytes = 0

    /**
     * Takes [frame], owned by the assembler from now on, and returns the unit that it ends, if it ends one.
     *
     * @throws MalformedMessageException if the messages of one unit exceed the limit
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

    fun release() = take().release()

    private fun take(): StatementUnit {
        val unit = StatementUnit(frames)
        frames = mutableListOf()
        unitBytes = 0
        return unit
    }
}
