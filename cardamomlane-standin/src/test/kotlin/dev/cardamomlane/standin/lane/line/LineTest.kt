package dev.cardamomlane.standin.lane.line

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull

/** The fields of a line stand behind one blank each, and the last one reaches to the end. */
class LineTest {
    // Guards against a last field that is cut at a blank, or loses blanks at its ends.
    @Test
    fun `the last field keeps its blanks and may be empty`() {
        assertEquals(listOf("a", " b  c "), Line.fields("WRITE a  b  c ", 2))
        assertEquals(listOf("a", ""), Line.fields("WRITE a ", 2))
        assertEquals(listOf("", "b"), Line.fields("WRITE  b", 2))
    }

    // Guards against a missing field that is read as an empty one.
    @Test
    fun `a line with fewer fields has none`() {
        assertNull(Line.fields("WRITE a", 2))
        assertNull(Line.fields("WRITE", 1))
    }

    // Guards against a writer whose lines read otherwise than they were meant.
    @Test
    fun `fields that would read otherwise are not written`() {
        assertFailsWith<IllegalArgumentException> { Line.of("WRITE", "a b", "c") }
        assertFailsWith<IllegalArgumentException> { Line.of("WRITE", "a", "b\r\nc") }
        assertEquals("WRITE a b\r\r\n", Line.of("WRITE", "a", "b\r"))
    }

    // Guards against fields that change between writer and reader.
    @Test
    fun `random fields are read as they were written`() {
        for (seed in 1..200) {
            val random = Random(seed)
            val fields = List(random.nextInt(4)) { random(random).replace(" ", "") } + random(random)
            val line = Line.of("W", *fields.toTypedArray())
            assertEquals(fields, Line.fields(line.removeSuffix("\r\n"), fields.size), "seed $seed")
        }
    }

    private fun random(random: Random) = String(
        CharArray(random.nextInt(9)) {
            if (random.nextBoolean()) " \n\u0000".random(random) else random.nextInt(256).toChar()
        },
    )
        .replace("\r", "")

    // Guards against records whose lines are broken by what they show.
    @Test
    fun `what is shown stays on one line`() {
        assertEquals("a\\x0d\\x0a\\xe9\\x5c b", Printable.of("a\r\n\u00e9\\ b"))
    }
}
