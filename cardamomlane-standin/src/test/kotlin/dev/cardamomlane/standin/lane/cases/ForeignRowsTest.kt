package dev.cardamomlane.standin.lane.cases

import kotlin.test.Test
import kotlin.test.assertTrue

/** The rows of another writer. */
class ForeignRowsTest {
    @Test
    fun `each content fits into a row of the store`() {
        ForeignRows.contents.forEach { assertTrue(it.toByteArray().size <= 65_536) }
    }
}
