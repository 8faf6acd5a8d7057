package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.failover.ClaimOutcome
import dev.cardamomlane.store.ConditionalWrite
import dev.cardamomlane.store.MemoryPlatformTable
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals

class TermClaimsTest {
    private val claims = TermClaims(MemoryPlatformTable(), DatabaseId("orders-1"))

    @Test
    fun `a term belongs to its first claimant, and later terms supersede it`() {
        val cases = listOf(
            Triple(2L, "one", ClaimOutcome.Won),
            Triple(2L, "one", ClaimOutcome.Won),
            Triple(2L, "two", ClaimOutcome.Lost(2)),
            Triple(3L, "two", ClaimOutcome.Won),
            Triple(2L, "one", ClaimOutcome.Lost(3)),
        )
        for ((term, claimant, outcome) in cases) {
            assertEquals(outcome, claims.claim(term, claimant).block(), "term $term for $claimant")
        }
    }

    @Test
    fun `recording a primary of an older term does not replace a later claim`() {
        claims.claim(term = 2, claimant = "one").block()
        claims.claim(term = 3, claimant = "two").block()
        claims.record(term = 2, claimant = "one", TargetId("b")).block()
        assertEquals(ClaimOutcome.Lost(3), claims.claim(term = 3, claimant = "one").block())
    }

    // A row with the highest term lost every claim, and the term after it overflowed.
    @TestFactory
    fun `a row that no host can have written leaves the outcome unknown`() =
        listOf("9223372036854775807", "-1", "1e999", "9e18", "[]").map { term ->
            DynamicTest.dynamicTest(term) {
                val table = MemoryPlatformTable()
                val row = ConditionalWrite("group/orders-1", 0, """{"term":$term,"claimant":"odd"}""")
                table.write(listOf(row), token = "1").block()
                val outcome = TermClaims(table, DatabaseId("orders-1")).claim(term = 2, claimant = "one").block()
                assertEquals(ClaimOutcome.Unknown, outcome)
            }
        }
}
