package dev.cardamomlane.standin.session

import dev.cardamomlane.standin.sql.SqlReader
import dev.cardamomlane.standin.sql.SqlStatement
import dev.cardamomlane.standin.sql.StatementKind
import dev.cardamomlane.wire.FrontendMessage

/** Messages that a session handles as one unit: a simple query, or extended messages up to a Sync or Flush. */
internal sealed interface MessageGroup {
    /** A simple query with its statements. */
    class Simple(val statements: List<SqlStatement>) : MessageGroup {
        /** The statement, if the query is a single call of a control function. Otherwise null. */
        val control: SqlStatement? = statements.singleOrNull()?.takeIf { it.kind == StatementKind.CONTROL }

        val takesSlot: Boolean = statements.any { it.kind.takesSlot }
    }

    /** Extended messages. The last one is a Sync or a Flush. */
    class Extended(val messages: List<FrontendMessage>) : MessageGroup {
        private val lastExecute = messages.indexOfLast { it is FrontendMessage.Execute }
        private val endsWithSync = messages.last() == FrontendMessage.Sync

        /**
         * Whether the implicit transaction may be committed with the message at [index].
         *
         * This is so for the last Execute of a group that ends with a Sync.
         */
        fun isLastExecute(index: Int): Boolean = endsWithSync && index == lastExecute
    }

    data object Terminate : MessageGroup

    /** Collects the messages of one connection into groups. */
    class Collector {
        private var extended = ArrayList<FrontendMessage>()

        /** Adds [message]. Returns the group that it completes, or null. */
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
