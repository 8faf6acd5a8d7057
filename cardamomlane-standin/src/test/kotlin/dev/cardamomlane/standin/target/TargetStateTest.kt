package dev.cardamomlane.standin.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.standin.log.LogRecord
import dev.cardamomlane.standin.log.RecordBody
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class TargetStateTest {
    private class Case(val name: String, val expected: Boolean, val action: TargetState.() -> Boolean)

    @TestFactory
    fun `fence, promote and follow`() = listOf(
        Case("a higher term is granted", true) { fence(3, "x") },
        Case("the same term and claimant again is granted", true) { fence(2, "x") },
        Case("the same term of another claimant is refused", false) { fence(2, "y") },
        Case("a lower term is refused", false) { fence(1, "x") },
        Case("promote at the fenced term is granted", true) { promote(2, "x") != null },
        Case("promote of another claimant is refused", false) { promote(2, "y") != null },
        Case("promote at another term is refused", false) { promote(3, "x") != null },
        Case("promote of a follower of that term is refused", false) { follow(2, "b") && promote(2, "x") != null },
        Case("follow at the fenced term is granted", true) { follow(2, "b") },
        Case("follow below the fence is refused", false) { follow(1, "b") },
        Case("follow of itself is refused", false) { follow(2, "a") },
        Case("a primary does not follow another of its own term", false) { promote(2, "x") != null && follow(2, "b") },
        Case("a primary follows a higher term", true) { promote(2, "x") != null && follow(3, "b") },
    ).map { case ->
        DynamicTest.dynamicTest(case.name) {
            val state = TargetState("a").apply { fence(2, "x") }
            assertEquals(case.expected, case.action(state))
        }
    }

    @Test
    fun `repeated promotion appends only one record for the term`() {
        val state = primary(term = 2)

        assertEquals(LogPosition(2, 1), state.promote(2, "x"))
        assertEquals(LogPosition(2, 1), state.received)
    }

    @Test
    fun `a fenced primary accepts no more writes`() {
        val state = primary(term = 2)
        state.fence(3, "y")

        assertFalse(state.writable)
    }

    @Test
    fun `a fenced replica refuses records of lower terms`() {
        val state = TargetState("b").apply { follow(2, "a") }
        state.fence(3, "y")
        state.follow(3, "a")

        assertFalse(state.receive(2, "a", LogPosition.START, listOf(record(2, 1))))
        assertTrue(state.receive(3, "a", LogPosition.START, listOf(record(3, 1))))
    }

    @Test
    fun `a replica accepts records only after the last position it has received`() {
        val state = TargetState("b").apply { follow(2, "a") }

        assertFalse(state.receive(2, "a", LogPosition(2, 1), listOf(record(2, 2))))
    }

    @Test
    fun `logs agree up to the last record of equal term`() {
        val old = primary(term = 2).apply { repeat(3) { append(RecordBody.TermStart) } }
        val replica = TargetState("b").apply {
            follow(2, "a")
            receive(2, "a", LogPosition.START, old.recordsAfter(0, 2))
            fence(3, "y")
            promote(3, "y")
        }

        assertEquals(2, old.commonPrefix(replica))
    }

    @Test
    fun `acknowledgements count only for the term of the primary`() {
        val state = primary(term = 2)
        state.acknowledge(1, "b", LogPosition(2, 1))
        assertEquals(1, state.countHolders(LogPosition(2, 1)))
        state.acknowledge(2, "b", LogPosition(2, 1))
        assertEquals(2, state.countHolders(LogPosition(2, 1)))
    }

    @Test
    fun `a fence clears the primary that the target follows`() {
        val state = TargetState("b").apply { follow(2, "a") }
        state.fence(3, "y")

        assertEquals("", state.following)
        assertNull(state.promote(2, "y"))
    }

    private fun primary(term: Long) = TargetState("a").apply {
        fence(term, "x")
        promote(term, "x")
    }

    private fun record(term: Long, offset: Long) = LogRecord(LogPosition(term, offset), RecordBody.TermStart)
}
