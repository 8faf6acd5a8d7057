package dev.cardamomlane.wire

import dev.cardamomlane.wire.internal.writeMessage
import dev.cardamomlane.wire.internal.writeText
import dev.cardamomlane.wire.internal.writeValue
import io.netty.buffer.ByteBuf

/**
 * Writes the messages that a server sends. Every function appends to its buffer and returns it.
 *
 * ```
 * val out = BackendWriter.readyForQuery(channel.alloc().buffer(), TransactionStatus.IDLE)
 * ```
 */
public object BackendWriter {
    private const val CLEARTEXT_PASSWORD = 3

    public fun authenticationOk(out: ByteBuf): ByteBuf = out.writeMessage('R') { writeInt(0) }

    public fun cleartextPassword(out: ByteBuf): ByteBuf = out.writeMessage('R') { writeInt(CLEARTEXT_PASSWORD) }

    public fun parameterStatus(out: ByteBuf, name: String, value: String): ByteBuf = out.writeMessage('S') {
        writeText(name)
        writeText(value)
    }

    public fun backendKeyData(out: ByteBuf, processId: Int, secretKey: Int): ByteBuf = out.writeMessage('K') {
        writeInt(processId)
        writeInt(secretKey)
    }

    public fun readyForQuery(out: ByteBuf, status: TransactionStatus): ByteBuf =
        out.writeMessage('Z') { writeByte(status.code.code) }

    public fun rowDescription(out: ByteBuf, columns: List<Column>): ByteBuf = out.writeMessage('T') {
        writeShort(columns.size)
        for (column in columns) {
            writeText(column.name)
            writeInt(0).writeShort(0)
            writeInt(column.typeOid).writeShort(column.typeBytes)
            writeInt(-1).writeShort(column.format)
        }
    }

    public fun dataRow(out: ByteBuf, values: List<ByteArray?>): ByteBuf = out.writeMessage('D') {
        writeShort(values.size)
        values.forEach { writeValue(it) }
    }

    public fun commandComplete(out: ByteBuf, tag: String): ByteBuf = out.writeMessage('C') { writeText(tag) }

    public fun emptyQueryResponse(out: ByteBuf): ByteBuf = out.writeMessage('I')

    public fun error(out: ByteBuf, error: ServerError): ByteBuf = writeError(out, 'E', error)

    public fun notice(out: ByteBuf, error: ServerError): ByteBuf = writeError(out, 'N', error)

    public fun parseComplete(out: ByteBuf): ByteBuf = out.writeMessage('1')

    public fun bindComplete(out: ByteBuf): ByteBuf = out.writeMessage('2')

    public fun closeComplete(out: ByteBuf): ByteBuf = out.writeMessage('3')

    public fun noData(out: ByteBuf): ByteBuf = out.writeMessage('n')

    public fun portalSuspended(out: ByteBuf): ByteBuf = out.writeMessage('s')

    public fun parameterDescription(out: ByteBuf, oids: List<Int>): ByteBuf = out.writeMessage('t') {
        writeShort(oids.size)
        oids.forEach { writeInt(it) }
    }

    private fun writeError(out: ByteBuf, type: Char, error: ServerError): ByteBuf = out.writeMessage(type) {
        writeField('S', error.severity)
        writeField('V', error.severity)
        writeField('C', error.sqlState)
        writeField('M', error.message)
        error.detail?.let { writeField('D', it) }
        error.hint?.let { writeField('H', it) }
        writeByte(0)
    }

    private fun ByteBuf.writeField(code: Char, text: String) {
        writeByte(code.code)
        writeText(text)
    }
}
