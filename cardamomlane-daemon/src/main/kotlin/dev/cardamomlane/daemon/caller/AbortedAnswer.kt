package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.BackendWriter
import dev.cardamomlane.wire.FrontendMessage
import dev.cardamomlane.wire.NameKind
import io.netty.buffer.ByteBuf

/** The answer to the end of a transaction that no target knows any more: it was rolled back. */
internal object AbortedAnswer {
    private const val TAG = "ROLLBACK"

    /** Writes the answers to all messages of [unit], up to its ReadyForQuery. */
    fun write(out: ByteBuf, unit: StatementUnit) {
        unit.frames.forEach { write(out, it.message) }
    }

    private fun write(out: ByteBuf, message: FrontendMessage) {
        when (message) {
            is FrontendMessage.Query, is FrontendMessage.Execute -> BackendWriter.commandComplete(out, TAG)
            is FrontendMessage.Parse -> BackendWriter.parseComplete(out)
            is FrontendMessage.Bind -> BackendWriter.bindComplete(out)
            is FrontendMessage.Close -> BackendWriter.closeComplete(out)
            is FrontendMessage.Describe -> {
                if (message.kind == NameKind.STATEMENT) BackendWriter.parameterDescription(out, emptyList())
                BackendWriter.noData(out)
            }
            else -> Unit
        }
    }
}
