package dev.cardamomlane.bench.report

import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class BoundsTest {
    @Test
    fun `a bound holds up to its ratio and reports a higher one`() {
        val bound = Bound("gap", target = 2_000.0, source = "", atMostRatio = 1.0)

        assertNull(bound.missOf(2_000.0))
        assertEquals("gap is 1.250 of its target, at most 1.000", bound.missOf(2_500.0))
    }

    @Test
    fun `a measure that is missing misses its bound`() {
        val bounds = Bounds(listOf(Bound("part", target = 1.0, source = "", atLeastRatio = 0.99)))

        assertEquals(listOf("part was not measured"), bounds.misses(emptyList()))
        assertEquals(
            listOf("part is 0.500 of its target, at least 0.990"),
            bounds.misses(listOf(Measure("part", 0.5, ""))),
        )
    }

    @Test
    fun `reads the shipped bounds`() {
        val bounds = Bounds.read(Path.of("..", "bench", "bounds.yaml"))

        assertEquals(7, bounds.bounds.size)
    }
}
