package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.sql.StatementReader
import dev.cardamomlane.daemon.target.CallerReplyHandler
import dev.cardamomlane.daemon.target.CallerReplySink
import dev.cardamomlane.daemon.target.PreparedNames
import dev.cardamomlane.wire.BackendWriter
import dev.cardamomlane.wire.FrontendMessage
import dev.cardamomlane.wire.FrontendWriter
import dev.cardamomlane.wire.ServerError
import dev.cardamomlane.wire.TransactionStatus
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals

class UnitEncoderTest {
    private val kept = PreparedStatement("SELECT 1", emptyList(), StatementReader.read("SELECT 1"))
    private val added = PreparedStatement("SELECT 2", emptyList(), StatementReader.read("SELECT 2"))
    private val planner = UnitPlanner(DatabaseId("orders-1"), customer = null, StatementFactsCache())
    private val names = PreparedNames(maxNames = 1)

    private object Sink : CallerReplySink {
        override fun onFrame(frame: ByteBuf) = Unit

        override fun onReady(frame: ByteBuf) = Unit

        override fun onLost(cause: Throwable?) = Unit
    }

    /** Sends a unit that prepares [statement], and returns the types of its messages and what takes the replies. */
    private fun send(statement: PreparedStatement): Pair<String, CallerReplyHandler> {
        val out = Unpooled.buffer()
        val parse = FrontendWriter.parse(Unpooled.buffer(), "s", statement.sql)
        val unit = StatementUnit(listOf(UnitFrame(FrontendMessage.decode(parse), parse)))
        val encoder = UnitEncoder(out, names)
        encoder.write(unit, planner.plan(unit, FakeGate().configuration().rules))
        val types = StringBuilder()
        while (out.isReadable) {
            types.append(out.readByte().toInt().toChar())
            out.skipBytes(out.readInt() - Int.SIZE_BYTES)
        }
        return types.toString() to CallerReplyHandler(encoder.expected, Sink).also { it.start() }
    }

    /** Guards against a statement that can't be prepared again on a connection that never closed it. */
    @Test
    fun `a prepared statement is known as long as its Close has not been answered`() {
        names.add(kept.serverName)
        val (types, replies) = send(added)

        replies.onFrame(BackendWriter.error(Unpooled.buffer(), ServerError("22012", "division by zero")))
        replies.onFrame(BackendWriter.readyForQuery(Unpooled.buffer(), TransactionStatus.IDLE))

        assertEquals("CP", types)
        assertEquals(listOf(true, false), listOf(kept.serverName in names, added.serverName in names))
    }

    /** Guards against a statement that counts as prepared after its Close. */
    @Test
    fun `a prepared statement is forgotten with the answer to its Close`() {
        names.add(kept.serverName)
        val (_, replies) = send(added)

        replies.onFrame(BackendWriter.closeComplete(Unpooled.buffer()))
        replies.onFrame(BackendWriter.parseComplete(Unpooled.buffer()))
        replies.onFrame(BackendWriter.readyForQuery(Unpooled.buffer(), TransactionStatus.IDLE))

        assertEquals(listOf(false, true), listOf(kept.serverName in names, added.serverName in names))
    }
}
