package dev.cardamomlane.wire

import dev.cardamomlane.wire.internal.malformedIfTruncated
import dev.cardamomlane.wire.internal.readExactText
import dev.cardamomlane.wire.internal.readList
import dev.cardamomlane.wire.internal.readText
import dev.cardamomlane.wire.internal.readValue
import io.netty.buffer.ByteBuf
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** A typed message from a client to a server. */
public sealed interface FrontendMessage {
    /** Runs [sql] in the simple protocol. */
    public data class Query(val sql: String) : FrontendMessage

    /** Prepares [sql] under [statement]; the empty name is the unnamed statement. */
    public data class Parse(val statement: String, val sql: String, val parameterOids: ImmutableList<Int>) :
        FrontendMessage

    /** Binds parameter values to the prepared [statement] and creates [portal] from it. */
    public class Bind(
        public val portal: String,
        public val statement: String,
        public val parameterFormats: ImmutableList<Int>,
        public val parameters: ImmutableList<ByteArray?>,
        public val resultFormats: ImmutableList<Int>,
    ) : FrontendMessage

    /** Describes a statement or a portal. */
    public data class Describe(val kind: NameKind, val name: String) : FrontendMessage

    /** Runs [portal] for at most [maxRows] rows; 0 means all. */
    public data class Execute(val portal: String, val maxRows: Int) : FrontendMessage

    /** Closes a statement or a portal. */
    public data class Close(val kind: NameKind, val name: String) : FrontendMessage

    /** Ends a group of messages of the extended protocol. */
    public data object Sync : FrontendMessage

    /** Asks the server to send the answers that it has so far. */
    public data object Flush : FrontendMessage

    /** Ends the session. */
    public data object Terminate : FrontendMessage

    /** Answers a request for a password. */
    public class Password(public val text: String) : FrontendMessage

    /** A message of another [type], whose body is not decoded. */
    public data class Other(val type: Char) : FrontendMessage

    public companion object {
        /**
         * Decodes one typed frame, header included. The caller keeps ownership of [frame].
         *
         * @throws MalformedMessageException if the body doesn't match its type, or a text that is sent on in another
         *   message is not UTF-8
         */
        public fun decode(frame: ByteBuf): FrontendMessage {
            val body = frame.slice()
            val type = body.readByte().toInt().toChar()
            body.skipBytes(Int.SIZE_BYTES)
            return malformedIfTruncated(type) { decodeBody(type, body) }
        }

        private fun decodeBody(type: Char, body: ByteBuf): FrontendMessage = when (type) {
            'Q' -> Query(body.readText())
            'P' -> Parse(body.readExactText(), body.readExactText(), body.readList { readInt() }.toImmutableList())
            'B' -> decodeBind(body)
            'D' -> Describe(NameKind.decode(body.readByte()), body.readExactText())
            'E' -> Execute(body.readExactText(), body.readInt())
            'C' -> Close(NameKind.decode(body.readByte()), body.readExactText())
            'S' -> Sync
            'H' -> Flush
            'X' -> Terminate
            'p' -> Password(body.readText())
            else -> Other(type)
        }

        private fun decodeBind(body: ByteBuf): Bind = Bind(
            portal = body.readExactText(),
            statement = body.readExactText(),
            parameterFormats = body.readList { readShort().toInt() }.toImmutableList(),
            parameters = body.readList { readValue() }.toImmutableList(),
            resultFormats = body.readList { readShort().toInt() }.toImmutableList(),
        )
    }
}
