package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.BackendWriter
import dev.cardamomlane.wire.MalformedMessageException
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertFailsWith

class AttemptQueriesTest {
    // Readers of a target's messages expect MalformedMessageException; any other exception passed by them.
    @TestFactory
    fun `a position that no target can have is malformed`() = listOf(
        listOf("-1", "10", "primary", "1"),
        listOf("1", "-10", "primary", "1"),
        listOf("1", "99999999999999999999", "primary", "1"),
        listOf("1e999", "10", "primary", "1"),
        listOf("1", "10", "primary", "9223372036854775807"),
        listOf("1", "10", "primary", "-1"),
        listOf("1", "10"),
        emptyList(),
    ).map { values ->
        DynamicTest.dynamicTest("$values") {
            val handler = AttemptQueries.position {}
            assertFailsWith<MalformedMessageException> { handler.onFrame(row(values)) }
        }
    }

    // As above, for the answer that acknowledges a write.
    @TestFactory
    fun `a confirmation that no target can send is malformed`() =
        listOf(listOf("-1", "10", "t"), listOf("1", "-10", "t"), listOf("", "10", "t"), listOf("1")).map { values ->
            DynamicTest.dynamicTest("$values") {
                val handler = AttemptQueries.confirmation(onConfirmed = {}, onReady = {}, onLost = {})
                assertFailsWith<MalformedMessageException> { handler.onFrame(row(values)) }
            }
        }

    private fun row(values: List<String>): ByteBuf =
        BackendWriter.dataRow(Unpooled.buffer(), values.map { it.toByteArray() })
}
