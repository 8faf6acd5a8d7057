package dev.cardamomlane.core

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class FindingTest {
    @Test
    fun `shows the place before the message`() {
        val finding = Finding(SourceLocation(file = "rules.txt", line = 3, column = 7), "unknown class \"fast\"")

        assertEquals("rules.txt:3:7: unknown class \"fast\"", finding.toString())
    }

    @Test
    fun `refuses a line below one`() {
        assertFailsWith<IllegalArgumentException> { SourceLocation(file = "rules.txt", line = 0, column = 1) }
    }
}
