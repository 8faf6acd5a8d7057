package dev.cardamomlane.standin.lane.line

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** A line ends at a carriage return with a line feed behind it, and nowhere else. */
class LineDecoderTest {
    private fun lines(bytes: ByteArray): List<String> {
        val decoder = LineDecoder()
        return bytes.toList().mapNotNull(decoder::add)
    }

    // Guards against a stand-in that ends a line where the daemon does, and so can't see what the daemon misreads.
    @Test
    fun `a lone line feed and a lone carriage return belong to the line`() {
        assertEquals(listOf("a\nb", "c\rd", "\n", "e\r"), lines(Line.bytes("a\nb\r\nc\rd\r\n\n\r\ne\r\r\n")))
    }

    // Guards against bytes that are read as a character set with several bytes a character.
    @Test
    fun `each byte is one character`() {
        val all = String(CharArray(256) { it.toChar() }).replace("\r", "")
        assertEquals(listOf(all), lines(Line.bytes("$all\r\n")))
    }

    // Guards against a line that is taken as whole before its end has come.
    @Test
    fun `bytes without an end are no line`() {
        assertEquals(listOf("a"), lines(Line.bytes("a\r\nb\r")))
    }

    // Guards against a memory that grows without bound with a line that never ends.
    @Test
    fun `a line of more than the longest message fails`() {
        val decoder = LineDecoder(maxBytes = 8)
        repeat(7) { decoder.add('a'.code.toByte()) }
        assertFailsWith<LineTooLongException> { decoder.add('a'.code.toByte()) }
    }

    // Guards against ends that depend on what stands around them: random lines of bytes that the end is made of.
    @Test
    fun `random lines are read as they were written`() {
        for (seed in 1..200) {
            val random = Random(seed)
            val fields = List(random.nextInt(1, 20)) { randomField(random) }
            val bytes = fields.flatMap { Line.bytes(Line.of("ROW", it)).toList() }.toByteArray()
            assertEquals(fields.map { "ROW $it" }, lines(bytes), "seed $seed")
        }
    }

    private fun randomField(random: Random): String {
        val text =
            CharArray(random.nextInt(12)) {
                if (random.nextBoolean()) "\r\n \u0000".random(random) else random.nextInt(256).toChar()
            }
        return String(text).replace(Regex("\r\n+"), "\r")
    }
}
