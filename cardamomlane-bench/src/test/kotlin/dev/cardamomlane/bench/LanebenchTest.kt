package dev.cardamomlane.bench

import picocli.CommandLine
import kotlin.test.Test
import kotlin.test.assertEquals

class LanebenchTest {
    @Test
    fun `every subcommand stands once`() {
        val expected = setOf("bench", "chaos", "control", "fleetcheck", "limits", "queue", "quickstart")

        assertEquals(expected, CommandLine(Lanebench()).subcommands.keys)
    }
}
