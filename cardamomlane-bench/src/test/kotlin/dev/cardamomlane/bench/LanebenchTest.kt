package dev.cardamomlane.bench

import picocli.CommandLine
import kotlin.test.Test
import kotlin.test.assertEquals

class LanebenchTest {
    @Test
    fun `has exactly the known subcommands`() {
        val expected = setOf("bench", "chaos", "control", "fleetcheck", "limits", "queue", "quickstart")

        assertEquals(expected, CommandLine(Lanebench()).subcommands.keys)
    }
}
