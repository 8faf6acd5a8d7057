package dev.cardamomlane.daemon.group

import kotlinx.collections.immutable.toImmutableList
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertFailsWith

class ControlFunctionResultsTest {
    private val good = listOf("primary", "1", "claimant", "1", "5", "1", "5", "", "f", "incarnation")

    // A fence term of Long.MAX_VALUE was adopted, and the term of the next takeover overflowed.
    @TestFactory
    fun `a status that no target can have is refused`() = listOf(
        1 to "9223372036854775807",
        1 to "-1",
        1 to "1e999",
        1 to "",
        3 to "9223372036854775807",
        4 to "-1",
        5 to "-1",
        7 to " ",
        0 to "PRIMARY\r\n",
    ).map { (column, value) ->
        DynamicTest.dynamicTest("column $column is \"${value.trim()}\"") {
            val row = good.toMutableList().also { it[column] = value }.toImmutableList()
            assertFailsWith<IllegalArgumentException> { ControlFunctionResults.status(row) }
        }
    }
}
