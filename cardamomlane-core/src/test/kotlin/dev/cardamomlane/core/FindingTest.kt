package dev.cardamomlane.core

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class FindingTest {
    @Test
    fun `the text of a finding is its location and its message`() {
        val finding = Finding(SourceLocation(file = "rules.txt", line = 3, column = 7), "unknown class \"fast\"")

        assertEquals("rules.txt:3:7: unknown class \"fast\"", finding.toString())
    }

    @Test
    fun `rejects a line number below one`() {
        assertFailsWith<IllegalArgumentException> { SourceLocation(file = "rules.txt", line = 0, column = 1) }
    }
}
