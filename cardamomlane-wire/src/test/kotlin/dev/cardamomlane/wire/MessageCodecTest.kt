package dev.cardamomlane.wire

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs

class MessageCodecTest {
    private fun out(): ByteBuf = Unpooled.buffer()

    @Test
    fun `startup parameters are decoded as they were encoded`() {
        val frame = StartupMessage.writeSession(out(), mapOf("user" to "kranj", "database" to "orders-1"))

        val session = assertIs<StartupMessage.Session>(StartupMessage.decode(frame))

        assertEquals("kranj", session.parameters["user"])
        assertEquals("orders-1", session.parameters["database"])
    }

    @Test
    fun `a cancel request keeps both numbers`() {
        val frame = StartupMessage.writeCancel(out(), processId = 7, secretKey = -9)

        assertEquals(StartupMessage.Cancel(processId = 7, secretKey = -9), StartupMessage.decode(frame))
    }

    @Test
    fun `parse keeps name, text and types`() {
        val frame = FrontendWriter.parse(out(), "S_1", "SELECT $1", listOf(23))

        assertEquals(FrontendMessage.Parse("S_1", "SELECT $1", persistentListOf(23)), FrontendMessage.decode(frame))
    }

    /** Guards against a target that prepares another text, or under a name that several of a caller's share. */
    @Test
    fun `a text or name that is not UTF-8 is refused where it would be written anew`() {
        val accents = listOf(byteArrayOf(0xE9.toByte()), byteArrayOf(0xEA.toByte()), byteArrayOf(0xC3.toByte()))
        for (bytes in accents) {
            val text = bytes + 0
            val bodies = listOf(
                'P' to text + 0 + byteArrayOf(0, 0),
                'P' to byteArrayOf(0) + text + byteArrayOf(0, 0),
                'B' to text + 0 + ByteArray(6),
                'B' to byteArrayOf(0) + text + ByteArray(6),
                'D' to byteArrayOf('S'.code.toByte()) + text,
                'D' to byteArrayOf('P'.code.toByte()) + text,
                'E' to text + ByteArray(4),
                'C' to byteArrayOf('S'.code.toByte()) + text,
            )
            for ((type, body) in bodies) {
                val frame = out().writeByte(type.code).writeInt(Int.SIZE_BYTES + body.size).writeBytes(body)
                assertFailsWith<MalformedMessageException>("$type") { FrontendMessage.decode(frame) }
            }
        }
    }

    @Test
    fun `bindTo changes only the statement name`() {
        val bind = Unpooled.wrappedBuffer(
            byteArrayOf('B'.code.toByte(), 0, 0, 0, 25) +
                "p\u0000old\u0000".toByteArray() +
                byteArrayOf(0, 1, 0, 0, 0, 1, 0, 0, 0, 1, 42, 0, 0, 0),
        )

        val frame = FrontendWriter.bindTo(out(), bind, "new")
        val message = assertIs<FrontendMessage.Bind>(FrontendMessage.decode(frame))

        assertEquals("p", message.portal)
        assertEquals("new", message.statement)
        assertEquals(listOf<Byte>(42), message.parameters.single()?.toList())
        assertEquals(frame.readableBytes() - 1, frame.getInt(1))
    }

    @Test
    fun `an error keeps code, detail and hint`() {
        val error = ServerError("53400", "rate is used up", detail = "not run", hint = "retry after 20 ms")

        val message = BackendMessage.decode(BackendWriter.error(out(), error))

        assertEquals(BackendMessage.ErrorResponse(error), message)
    }

    @Test
    fun `a row distinguishes null from an empty value`() {
        val frame = BackendWriter.dataRow(out(), listOf("a".toByteArray(), null, ByteArray(0)))

        val row = assertIs<BackendMessage.DataRow>(BackendMessage.decode(frame))

        assertEquals(listOf("a", null, ""), List(3) { row.text(it) })
    }

    @ParameterizedTest
    @ValueSource(strings = ["Q", "P", "B", "D", "E", "C", "p"])
    fun `a body that ends early is malformed`(type: String) {
        val frame = Unpooled.buffer().writeByte(type[0].code).writeInt(6).writeByte(1).writeByte('x'.code)

        assertFailsWith<MalformedMessageException> { FrontendMessage.decode(frame) }
    }

    @ParameterizedTest
    @ValueSource(chars = ['R', 'S', 'K', 'D', 'C', 'E'])
    fun `a server body that ends early is malformed`(type: Char) {
        val frame = Unpooled.buffer().writeByte(type.code).writeInt(5).writeByte(1)

        assertFailsWith<MalformedMessageException> { BackendMessage.decode(frame) }
    }

    // An SQLSTATE of another length threw an exception that no reader of messages expects.
    @ParameterizedTest
    @ValueSource(strings = ["", "5340", "534000"])
    fun `an error with an SQLSTATE that is not five characters long is malformed`(sqlState: String) {
        val body = "C$sqlState\u0000Mtext\u0000\u0000".toByteArray()
        val frame = Unpooled.buffer().writeByte('E'.code).writeInt(4 + body.size).writeBytes(body)

        assertFailsWith<MalformedMessageException> { BackendMessage.decode(frame) }
    }

    // A control query's answer with fewer columns than expected threw an exception that no reader of messages expects.
    @Test
    fun `a column that a row does not have is malformed`() {
        val row = assertIs<BackendMessage.DataRow>(BackendMessage.decode(BackendWriter.dataRow(out(), emptyList())))

        assertFailsWith<MalformedMessageException> { row.text(0) }
    }
}
