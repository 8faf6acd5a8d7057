package dev.cardamomlane.daemon.caller

import dev.cardamomlane.daemon.target.ExpectedReply
import dev.cardamomlane.daemon.target.PreparedNames
import dev.cardamomlane.wire.BackendWriter
import dev.cardamomlane.wire.FrontendMessage
import dev.cardamomlane.wire.FrontendWriter
import dev.cardamomlane.wire.NameKind
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * Writes the messages of a unit to [out], adapted to one target connection.
 *
 * The caller's names of prepared statements are replaced by [PreparedStatement.serverName], and statements that the
 * connection does not have are prepared first.
 *
 * @param prepared the names of the statements that the connection has
 */
internal class UnitEncoder(private val out: ByteBuf, private val prepared: PreparedNames) {
    /** The replies to expect, in order. */
    val expected = ArrayDeque<ExpectedReply>()

    private val sentNames = HashSet<String>()
    private val closingNames = HashSet<String>()
    private var unnamedSent = false

    fun write(unit: StatementUnit, plan: UnitPlan) {
        unit.frames.forEachIndexed { index, frame -> write(frame, plan.statements[index]) }
    }

    private fun write(frame: UnitFrame, statement: PreparedStatement?) {
        when (val message = frame.message) {
            is FrontendMessage.Parse -> writeParse(message, checkNotNull(statement))
            is FrontendMessage.Bind -> writeBind(message, frame, statement)
            is FrontendMessage.Describe -> writeDescribe(message, frame, statement)
            is FrontendMessage.Execute -> copy(frame, ExpectedReply.EXECUTE)
            is FrontendMessage.Close -> writeClose(message, frame)
            is FrontendMessage.Query -> copy(frame, ExpectedReply.QUERY)
            else -> out.writeBytes(frame.bytes.duplicate())
        }
    }

    private fun writeParse(message: FrontendMessage.Parse, statement: PreparedStatement) {
        if (message.statement.isEmpty()) {
            unnamedSent = true
            FrontendWriter.parse(out, "", statement.sql, statement.parameterOids)
            expected += ExpectedReply(ExpectedReply.PARSE)
        } else if (isPrepared(statement)) {
            expected +=
                ExpectedReply("", localReply = BackendWriter.parseComplete(Unpooled.buffer(EMPTY_MESSAGE_BYTES)))
        } else {
            prepare(statement, isHidden = false)
        }
    }

    private fun writeBind(message: FrontendMessage.Bind, frame: UnitFrame, statement: PreparedStatement?) {
        if (statement == null) return copy(frame, ExpectedReply.BIND)
        FrontendWriter.bindTo(out, frame.bytes, ensurePrepared(message.statement, statement))
        expected += ExpectedReply(ExpectedReply.BIND)
    }

    private fun writeDescribe(message: FrontendMessage.Describe, frame: UnitFrame, statement: PreparedStatement?) {
        if (statement == null) return copy(frame, ExpectedReply.DESCRIBE)
        FrontendWriter.describe(out, NameKind.STATEMENT, ensurePrepared(message.name, statement))
        expected += ExpectedReply(ExpectedReply.DESCRIBE)
    }

    private fun writeClose(message: FrontendMessage.Close, frame: UnitFrame) {
        if (message.kind == NameKind.PORTAL) return copy(frame, ExpectedReply.CLOSE)
        expected += ExpectedReply("", localReply = BackendWriter.closeComplete(Unpooled.buffer(EMPTY_MESSAGE_BYTES)))
    }

    /**
     * Prepares [statement] if the connection does not have it, and returns its name there. The unnamed statement is
     * prepared once in each unit that uses it.
     */
    private fun ensurePrepared(callerName: String, statement: PreparedStatement): String {
        if (callerName.isNotEmpty()) {
            if (!isPrepared(statement)) prepare(statement, isHidden = true)
            return statement.serverName
        }
        if (!unnamedSent) {
            unnamedSent = true
            FrontendWriter.parse(out, "", statement.sql, statement.parameterOids)
            expected += ExpectedReply(ExpectedReply.PARSE, isHidden = true)
        }
        return ""
    }

    private fun isPrepared(statement: PreparedStatement): Boolean =
        statement.serverName in sentNames || (statement.serverName in prepared && statement.serverName !in closingNames)

    private fun prepare(statement: PreparedStatement, isHidden: Boolean) {
        prepared.surplus(closingNames)?.let { surplus ->
            closingNames += surplus
            FrontendWriter.close(out, NameKind.STATEMENT, surplus)
            expected += ExpectedReply(ExpectedReply.CLOSE, isHidden = true, onEnd = { prepared.remove(surplus) })
        }
        val name = statement.serverName
        sentNames += name
        FrontendWriter.parse(out, name, statement.sql, statement.parameterOids)
        expected += ExpectedReply(ExpectedReply.PARSE, isHidden, onEnd = { prepared.add(name) })
    }

    private fun copy(frame: UnitFrame, endTypes: String) {
        out.writeBytes(frame.bytes.duplicate())
        expected += ExpectedReply(endTypes)
    }

    private companion object {
        /** Type and length of a message without a body. */
        const val EMPTY_MESSAGE_BYTES = 5
    }
}
