package dev.cardamomlane.store

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RateLimitedLogTest {
    private val lines = ArrayList<String>()
    private var nowMillis = 0L
    private val log = RateLimitedLog({ nowMillis }) { line, _ -> lines += line }

    // A row that every scan leaves out would fill the log of each host.
    @Test
    fun `a source logs one line in a period and counts the others`() {
        repeat(100) { log.warn("row a", "odd") }
        log.warn("row b", "odd")
        nowMillis = 10_000
        log.warn("row a", "odd")

        assertEquals(listOf("row a: odd", "row b: odd", "row a: odd (99 more since the last line)"), lines)
    }

    // A line break in the name of a row would write a line of the odd writer's choice into the log.
    @Test
    fun `a source and reason with control characters stay one short line`() {
        log.warn("row a\r\nb\u0000", "x".repeat(100_000))
        val line = lines.single()
        assertTrue(line.startsWith("row a  b : xxx"), line)
        assertTrue(line.length < 1_000, "${line.length} characters")
    }

    // A writer that chooses a new name for every row would use up the memory of each host.
    @Test
    fun `many sources share their lines`() {
        repeat(10_000) { log.warn("row $it", "odd") }
        assertEquals(257, lines.size)
    }
}
