package dev.cardamomlane.wire

import dev.cardamomlane.wire.internal.malformedIfTruncated
import dev.cardamomlane.wire.internal.readText
import dev.cardamomlane.wire.internal.writeText
import io.netty.buffer.ByteBuf
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap

/** A message that a client sends before its session starts. It has no type byte. */
public sealed interface StartupMessage {
    /** Asks for a session. [parameters] contains at least `user`. */
    public data class Session(val parameters: ImmutableMap<String, String>) : StartupMessage

    /** Asks whether the server supports TLS. */
    public data object TlsRequest : StartupMessage

    /** Asks whether the server supports GSSAPI encryption. */
    public data object GssRequest : StartupMessage

    /** Asks to cancel the statement that runs in another session. */
    public data class Cancel(val processId: Int, val secretKey: Int) : StartupMessage

    /** Asks for a session in a protocol version other than 3, which is not supported. */
    public data class Unsupported(val major: Int, val minor: Int) : StartupMessage

    public companion object {
        private const val CANCEL_CODE = 80877102
        private const val TLS_CODE = 80877103
        private const val GSS_CODE = 80877104
        private const val VERSION_3 = 3

        /**
         * Reads one startup frame. The caller keeps ownership of [frame].
         *
         * @throws MalformedMessageException if the frame ends before its fields do, or a text has no zero byte at its
         *   end
         */
        public fun decode(frame: ByteBuf): StartupMessage = malformedIfTruncated('S') {
            val body = frame.slice().skipBytes(Int.SIZE_BYTES)
            when (val code = body.readInt()) {
                CANCEL_CODE -> Cancel(processId = body.readInt(), secretKey = body.readInt())
                TLS_CODE -> TlsRequest
                GSS_CODE -> GssRequest
                else -> decodeSession(body, major = code ushr 16, minor = code and 0xffff)
            }
        }

        private fun decodeSession(body: ByteBuf, major: Int, minor: Int): StartupMessage {
            if (major != VERSION_3) return Unsupported(major, minor)
            val parameters = LinkedHashMap<String, String>()
            while (true) {
                val name = body.readText()
                if (name.isEmpty()) break
                parameters[name] = body.readText()
            }
            return Session(parameters.toImmutableMap())
        }

        /** Writes the message that asks for a session with [parameters]. */
        public fun writeSession(out: ByteBuf, parameters: Map<String, String>): ByteBuf {
            val start = out.writerIndex()
            out.writeInt(0).writeInt(VERSION_3 shl 16)
            parameters.forEach { (name, value) -> out.writeText(name).writeText(value) }
            out.writeByte(0)
            return out.setInt(start, out.writerIndex() - start)
        }

        /** Writes the message that cancels a statement in the session named by [processId] and [secretKey]. */
        public fun writeCancel(out: ByteBuf, processId: Int, secretKey: Int): ByteBuf =
            out.writeInt(16).writeInt(CANCEL_CODE).writeInt(processId).writeInt(secretKey)
    }
}
