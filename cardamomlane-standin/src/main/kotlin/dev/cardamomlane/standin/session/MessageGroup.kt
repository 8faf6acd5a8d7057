package dev.cardamomlane.standin.session

import dev.cardamomlane.standin.sql.SqlReader
import dev.cardamomlane.standin.sql.SqlStatement
import dev.cardamomlane.standin.sql.StatementKind
import dev.cardamomlane.wire.FrontendMessage

/** Messages that a session works through as one piece: a simple query, or extended messages up to Sync or Flush. */
internal sealed interface MessageGroup {
    /** A simple query with its statements. */
    class Simple(val statements: List<SqlStatement>) : MessageGroup {
        /** The statement, if it is a lone call of a control function. */
        val control: SqlStatement? = statements.singleOrNull()?.takeIf { it.kind == StatementKind.CONTROL }

        val takesSlot: Boolean = statements.any { it.kind.takesSlot }
    }

    /** Extended messages. The last one is a Sync or a Flush. */
    class Extended(val messages: List<FrontendMessage>) : MessageGroup {
        private val lastExecute = messages.indexOfLast { it is FrontendMessage.Execute }
        private val endsWithSync = messages.last() == FrontendMessage.Sync

        /** Whether the transaction may be committed with the message at [index], because a Sync is all that follows. */
        fun isLastExecute(index: Int): Boolean = endsWithSync && index == lastExecute
    }

    data object Terminate : MessageGroup

    /** Collects the messages of one connection into groups. */
    class Collector {
        private var extended = ArrayList<FrontendMessage>()

        /** Takes [message] and returns the group that it completes, if any. */
        fun add(message: FrontendMessage): MessageGroup? = when (message) {
            is FrontendMessage.Query -> Simple(SqlReader.readAll(message.sql))
            FrontendMessage.Terminate -> Terminate
            FrontendMessage.Sync, FrontendMessage.Flush -> {
                extended += message
                Extended(extended).also { extended = ArrayList() }
            }
            else -> {
                extended += message
                null
            }
        }
    }
}
