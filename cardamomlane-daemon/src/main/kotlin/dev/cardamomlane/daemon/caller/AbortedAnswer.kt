package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.BackendWriter
import dev.cardamomlane.wire.FrontendMessage
import dev.cardamomlane.wire.NameKind
import io.netty.buffer.ByteBuf

/**
 * Answers the unit that ends an aborted transaction.
 *
 * The daemon has already rolled the transaction back, or its connection was lost. So nothing is sent to a target, and
 * each statement gets the command tag `ROLLBACK`.
 */
internal object AbortedAnswer {
    private const val TAG = "ROLLBACK"

    /** Appends the answers to all messages of [unit] to [out], without the ReadyForQuery that ends them. */
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
