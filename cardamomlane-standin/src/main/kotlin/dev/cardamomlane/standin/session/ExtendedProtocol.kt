package dev.cardamomlane.standin.session

import dev.cardamomlane.standin.sql.SqlReader
import dev.cardamomlane.standin.sql.SqlStatement
import dev.cardamomlane.standin.sql.StatementKind
import dev.cardamomlane.wire.BackendWriter
import dev.cardamomlane.wire.FrontendMessage
import dev.cardamomlane.wire.NameKind
import dev.cardamomlane.wire.ServerError
import dev.cardamomlane.wire.TransactionStatus
import io.netty.buffer.ByteBuf
import java.sql.Connection

/**
 * The extended query protocol of one session: prepared statements, portals and error recovery.
 *
 * @param afterStatement writes what must precede the command tag of an executed statement
 */
internal class ExtendedProtocol(
    private val runner: StatementRunner,
    private val connection: Connection,
    private val afterStatement: (SqlStatement, ByteBuf) -> Unit,
) {
    private val statements = HashMap<String, PreparedSql>()
    private val portals = HashMap<String, Portal>()

    /** Whether messages are skipped up to the next Sync, as the protocol requires after an error. */
    private var skippingToSync = false

    private val transaction get() = runner.transaction

    /** Whether [group] executes a statement that needs a slot. */
    fun takesSlot(group: MessageGroup.Extended): Boolean {
        val parsed = HashMap<String, Boolean>()
        val bound = HashMap<String, Boolean>()
        return group.messages.any { message ->
            when (message) {
                is FrontendMessage.Parse -> parsed[message.statement] =
                    SqlReader.readAll(message.sql).any { it.kind.takesSlot }
                is FrontendMessage.Bind ->
                    bound[message.portal] =
                        parsed[message.statement] ?: (statements[message.statement]?.engineStatement != null)
                else -> Unit
            }
            message is FrontendMessage.Execute &&
                (bound[message.portal] ?: (portals[message.portal]?.prepared?.engineStatement != null))
        }
    }

    /** Handles the messages of [group] in order and writes the answers to [out]. */
    fun run(group: MessageGroup.Extended, out: ByteBuf) {
        group.messages.forEachIndexed { index, message ->
            if (message == FrontendMessage.Sync) {
                sync(out)
            } else if (!skippingToSync) {
                reportingErrors(out) { handle(message, group.isLastExecute(index), out) }
            }
        }
    }

    private fun sync(out: ByteBuf) {
        skippingToSync = false
        reportingErrors(out) { transaction.commitImplicit() }
        skippingToSync = false
        if (transaction.status == TransactionStatus.IDLE) {
            portals.values.forEach(Portal::close)
            portals.clear()
        }
        BackendWriter.readyForQuery(out, transaction.status)
    }

    private fun reportingErrors(out: ByteBuf, action: () -> Unit) {
        try {
            action()
        } catch (lost: AnswerLostException) {
            throw lost
        } catch (error: Exception) {
            skippingToSync = true
            transaction.fail()
            BackendWriter.error(out, ErrorMapping.of(error))
        }
    }

    private fun handle(message: FrontendMessage, lastExecute: Boolean, out: ByteBuf) {
        when (message) {
            is FrontendMessage.Parse -> parse(message, out)
            is FrontendMessage.Bind -> bind(message, out)
            is FrontendMessage.Describe -> describe(message, out)
            is FrontendMessage.Execute -> execute(message, lastExecute, out)
            is FrontendMessage.Close -> close(message, out)
            FrontendMessage.Flush -> Unit
            else -> throw SqlFailure(ServerError("08P01", "unexpected message in the extended protocol"))
        }
    }

    private fun parse(message: FrontendMessage.Parse, out: ByteBuf) {
        val statement = SqlReader.readOne(message.sql)
            ?: throw SqlFailure(ServerError("42601", "cannot insert multiple commands into a prepared statement"))
        runner.checkTransaction(statement)
        if (statement.kind == StatementKind.UNSUPPORTED) {
            throw SqlFailure(ErrorMapping.unsupported(statement.words.first()))
        }
        if (message.statement.isNotEmpty() && message.statement in statements) {
            throw SqlFailure(ServerError("42P05", "prepared statement \"${message.statement}\" already exists"))
        }
        statements.put(message.statement, PreparedSql(statement, message.parameterOids, connection))?.close()
        BackendWriter.parseComplete(out)
    }

    private fun bind(message: FrontendMessage.Bind, out: ByteBuf) {
        val prepared = statement(message.statement)
        runner.checkTransaction(prepared.statement)
        portals.put(message.portal, Portal(prepared, message))?.close()
        BackendWriter.bindComplete(out)
    }

    private fun describe(message: FrontendMessage.Describe, out: ByteBuf) {
        val columns = if (message.kind == NameKind.STATEMENT) {
            val prepared = statement(message.name)
            BackendWriter.parameterDescription(out, prepared.parameterOids)
            prepared.columns(formats = emptyList())
        } else {
            portal(message.name).columns(runner)
        }
        if (columns == null) BackendWriter.noData(out) else BackendWriter.rowDescription(out, columns)
    }

    private fun execute(message: FrontendMessage.Execute, last: Boolean, out: ByteBuf) {
        val portal = portal(message.portal)
        val statement = portal.prepared.statement
        if (statement.kind == StatementKind.EMPTY) {
            BackendWriter.emptyQueryResponse(out)
            return
        }
        val failed = transaction.status == TransactionStatus.FAILED
        val rows = portal.execute(runner, out, message.maxRows)
        if (rows == null) {
            BackendWriter.portalSuspended(out)
            return
        }
        if (last) transaction.commitImplicit()
        afterStatement(statement, out)
        val tag = if (failed && statement.kind == StatementKind.COMMIT) "ROLLBACK" else statement.tag(rows)
        BackendWriter.commandComplete(out, tag)
    }

    private fun close(message: FrontendMessage.Close, out: ByteBuf) {
        if (message.kind ==
            NameKind.STATEMENT
        ) {
            statements.remove(message.name)?.close()
        } else {
            portals.remove(message.name)?.close()
        }
        BackendWriter.closeComplete(out)
    }

    private fun statement(name: String): PreparedSql = statements[name]
        ?: throw SqlFailure(ServerError("26000", "prepared statement \"$name\" does not exist"))

    private fun portal(name: String): Portal = portals[name]
        ?: throw SqlFailure(ServerError("34000", "portal \"$name\" does not exist"))
}
