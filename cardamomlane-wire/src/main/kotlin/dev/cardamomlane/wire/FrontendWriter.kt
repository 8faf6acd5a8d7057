package dev.cardamomlane.wire

import dev.cardamomlane.wire.internal.malformedIfTruncated
import dev.cardamomlane.wire.internal.readText
import dev.cardamomlane.wire.internal.writeMessage
import dev.cardamomlane.wire.internal.writeText
import io.netty.buffer.ByteBuf

/**
 * Writes the messages that a client sends. Every function appends to its buffer and returns it.
 *
 * ```
 * val out = FrontendWriter.query(channel.alloc().buffer(), "SELECT 1")
 * ```
 */
public object FrontendWriter {
    public fun query(out: ByteBuf, sql: String): ByteBuf = out.writeMessage('Q') { writeText(sql) }

    public fun password(out: ByteBuf, text: String): ByteBuf = out.writeMessage('p') { writeText(text) }

    public fun parse(out: ByteBuf, statement: String, sql: String, parameterOids: List<Int> = emptyList()): ByteBuf =
        out.writeMessage('P') {
            writeText(statement)
            writeText(sql)
            writeShort(parameterOids.size)
            parameterOids.forEach { writeInt(it) }
        }

    public fun close(out: ByteBuf, kind: NameKind, name: String): ByteBuf = out.writeMessage('C') {
        writeByte(kind.code.code)
        writeText(name)
    }

    public fun describe(out: ByteBuf, kind: NameKind, name: String): ByteBuf = out.writeMessage('D') {
        writeByte(kind.code.code)
        writeText(name)
    }

    public fun sync(out: ByteBuf): ByteBuf = out.writeMessage('S')

    public fun terminate(out: ByteBuf): ByteBuf = out.writeMessage('X')

    /**
     * Writes a copy of the Bind message in [frame] with [statement] as its statement name. Portal, formats and values
     * stay the same. The caller keeps ownership of [frame].
     *
     * @throws MalformedMessageException if [frame] ends before its names do
     */
    public fun bindTo(out: ByteBuf, frame: ByteBuf, statement: String): ByteBuf = malformedIfTruncated('B') {
        val body = frame.slice().skipBytes(FrameDecoders.HEADER_BYTES)
        val portal = body.readText()
        body.readText()
        out.writeMessage('B') {
            writeText(portal)
            writeText(statement)
            writeBytes(body)
        }
    }
}
