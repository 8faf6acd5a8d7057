package dev.cardamomlane.wire

import dev.cardamomlane.wire.internal.malformedIfTruncated
import dev.cardamomlane.wire.internal.readList
import dev.cardamomlane.wire.internal.readText
import dev.cardamomlane.wire.internal.readValue
import io.netty.buffer.ByteBuf
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** A message from a server to a client. Only the types that this project needs are decoded. */
public sealed interface BackendMessage {
    /** A request for authentication by the method [code]; 0 means that the client is authenticated. */
    public data class Authentication(val code: Int) : BackendMessage

    public data class ParameterStatus(val name: String, val value: String) : BackendMessage

    public data class BackendKeyData(val processId: Int, val secretKey: Int) : BackendMessage

    public data class ReadyForQuery(val status: TransactionStatus) : BackendMessage

    public class DataRow(public val values: ImmutableList<ByteArray?>) : BackendMessage {
        /**
         * The value of column [index], which must be in text format, or null for an SQL null.
         *
         * @throws MalformedMessageException if the row has no such column
         */
        public fun text(index: Int): String? {
            if (index !in values.indices) throw MalformedMessageException("a row has no column $index")
            return values[index]?.toString(Charsets.UTF_8)
        }
    }

    public data class CommandComplete(val tag: String) : BackendMessage

    public data class ErrorResponse(val error: ServerError) : BackendMessage

    /** A message of another [type], whose body is not decoded. */
    public data class Other(val type: Char) : BackendMessage

    public companion object {
        /** Returns the type of [frame] without decoding its body. */
        public fun typeOf(frame: ByteBuf): Char = frame.getByte(frame.readerIndex()).toInt().toChar()

        /**
         * Decodes one typed frame, header included. The caller keeps ownership of [frame].
         *
         * @throws MalformedMessageException if the body doesn't match its type
         */
        public fun decode(frame: ByteBuf): BackendMessage {
            val body = frame.slice()
            val type = body.readByte().toInt().toChar()
            body.skipBytes(Int.SIZE_BYTES)
            return malformedIfTruncated(type) { decodeBody(type, body) }
        }

        private fun decodeBody(type: Char, body: ByteBuf): BackendMessage = when (type) {
            'R' -> Authentication(body.readInt())
            'S' -> ParameterStatus(body.readText(), body.readText())
            'K' -> BackendKeyData(body.readInt(), body.readInt())
            'Z' -> ReadyForQuery(TransactionStatus.decode(body.readByte()))
            'D' -> DataRow(body.readList { readValue() }.toImmutableList())
            'C' -> CommandComplete(body.readText())
            'E' -> ErrorResponse(decodeError(body))
            else -> Other(type)
        }

        private fun decodeError(body: ByteBuf): ServerError {
            val fields = HashMap<Char, String>()
            while (true) {
                val code = body.readByte().toInt().toChar()
                if (code == '\u0000') break
                fields[code] = body.readText()
            }
            val sqlState = fields['C']
            if (sqlState?.length != ServerError.SQL_STATE_LENGTH) {
                throw MalformedMessageException("an ErrorResponse has the SQLSTATE \"$sqlState\"")
            }
            return ServerError(
                sqlState = sqlState,
                message = fields['M'].orEmpty(),
                detail = fields['D'],
                hint = fields['H'],
                severity = fields['S'] ?: "ERROR",
            )
        }
    }
}
