package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.session.CallerState
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.TransactionState
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class HostMessageCodecTest {
    private fun assertArrives(message: HostMessage) =
        assertEquals(message, HostMessageCodec.decode(HostMessageCodec.encode(message)))

    /** A text of any characters that stand for one byte, possibly empty. */
    private fun Random.text(): String = String(CharArray(nextInt(LENGTHS.random(this))) { nextInt(256).toChar() })

    private fun Random.texts(): List<String> = List(nextInt(20)) { text() }

    private fun Random.request() = OperationRequest(
        operation = nextLong(),
        start = OperationStart(text(), text().takeIf { nextBoolean() }, TransactionKind.entries.random(this), null, 1)
            .takeIf { nextBoolean() },
        kind = StepKind.entries.random(this),
        id = text(),
        text = text(),
        shape = text().takeIf { nextBoolean() },
        values = texts().associateWith { text() }.ifEmpty { null }.takeIf { nextBoolean() },
    )

    private fun Random.answer() = OperationAnswer(
        operation = nextLong(),
        rows = texts(),
        digest = text().takeIf { nextBoolean() },
        error = ErrorCode.entries.random(this).takeIf { nextBoolean() },
        errorText = text(),
        state = TransactionState.entries.random(this),
        position = LogPosition(nextLong(Long.MAX_VALUE), nextLong(Long.MAX_VALUE)).takeIf { nextBoolean() },
        configurationVersion = nextLong(),
    )

    /** Guards against a statement, value or row that another host gets with other characters. */
    @Test
    fun `texts of any character arrive as they were sent`() {
        for (seed in 1..SEEDS) {
            val random = Random(seed)
            assertArrives(HostMessage(request = random.request()))
            assertArrives(HostMessage(answer = random.answer()))
            val part = AnswerPart(random.nextLong(), random.texts(), random.answer().takeIf { random.nextBoolean() })
            assertArrives(HostMessage(part = part))
        }
    }

    /** Guards against a request that is dropped, since CBOR decodes an empty map in place of null as null. */
    @Test
    fun `a request without session values arrives with none`() {
        val request = Random(1).request().copy(values = emptyMap())

        val arrived = HostMessageCodec.decode(HostMessageCodec.encode(HostMessage(request = request)))

        assertEquals(request.copy(values = null), arrived?.request)
    }

    /** Guards against a caller that ends the connection between two hosts by a request that is too long for it. */
    @Test
    fun `the longest request fits into a message`() {
        val state = CallerState()
        var count = 0
        while (state.set("\u00ff$count", "\u00ff".repeat(VALUE_CHARACTERS))) count++
        val request = OperationRequest(
            operation = Long.MAX_VALUE,
            start = OperationStart(
                "\u00ff".repeat(LINE_CHARACTERS / 2),
                "\u00ff".repeat(LINE_CHARACTERS / 2),
                TransactionKind.NONE,
                null,
                1,
            ),
            kind = StepKind.WRITE,
            id = "\u00ff".repeat(LINE_CHARACTERS / 2),
            text = "\u00ff".repeat(LINE_CHARACTERS / 2),
            shape = "",
            values = state.values,
        )

        assertTrue(count > 0)
        assertTrue(HostMessageCodec.encode(HostMessage(request = request)).size <= HostMessageCodec.MAX_BYTES)
    }

    /** Guards against rows that are lost, repeated or out of order where an answer is divided. */
    @Test
    fun `the parts of an answer hold its rows in order and fit into messages`() {
        for (seed in 1..SEEDS) {
            val random = Random(seed)
            val longest = listOf(10, 100_000, LINE_CHARACTERS).random(random)
            val rows = List(random.nextInt(1, 12)) { "\u00ff".repeat(random.nextInt(longest)) }
            val answer = random.answer().copy(rows = rows)

            val parts = AnswerPart.of(answer)

            if (parts.isEmpty()) {
                assertTrue(HostMessageCodec.encode(HostMessage(answer = answer)).size <= HostMessageCodec.MAX_BYTES)
                continue
            }
            assertEquals(rows, parts.flatMap { it.rows })
            assertEquals(answer.copy(rows = emptyList()), assertNotNull(parts.last().answer))
            assertTrue(parts.dropLast(1).all { it.answer == null })
            assertTrue(parts.all { HostMessageCodec.encode(HostMessage(part = it)).size <= HostMessageCodec.MAX_BYTES })
        }
    }

    private companion object {
        const val SEEDS = 100
        val LENGTHS = listOf(1, 2, 30, 300, 70_000)

        /** The most characters of one line of a caller or target. */
        const val LINE_CHARACTERS = 1 shl 20
        const val VALUE_CHARACTERS = 1_000
    }
}
