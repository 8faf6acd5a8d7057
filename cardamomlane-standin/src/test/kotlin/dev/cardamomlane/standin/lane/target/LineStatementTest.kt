package dev.cardamomlane.standin.lane.target

import kotlin.test.Test
import kotlin.test.assertEquals

/** How targets read the texts of statements. */
class LineStatementTest {
    // Guards against targets that lose a part of a statement as the daemon under test may.
    @Test
    fun `the last field of each statement reaches to the end of the line`() {
        assertEquals(LineStatement.Read(" a  b "), LineStatement.parse("READ  a  b "))
        assertEquals(LineStatement.Write("a", "b \n c"), LineStatement.parse("WRITE a b \n c"))
        assertEquals(LineStatement.Write("a", ""), LineStatement.parse("WRITE a "))
        assertEquals(LineStatement.Set("n", "x y"), LineStatement.parse("SET n x y"))
        assertEquals(
            LineStatement.Prepare("s", PreparedPlan(isWrite = false, "q1 WRITE z")),
            LineStatement.parse("PREPARE s READ q1 WRITE z"),
        )
        assertEquals(LineStatement.Execute("s", "a b c"), LineStatement.parse("EXEC s a b c"))
        assertEquals(LineStatement.Deallocate("s t"), LineStatement.parse("CLOSE s t"))
    }

    // Guards against a plan whose access is guessed.
    @Test
    fun `texts that no rule describes are malformed`() {
        listOf(
            "PREPARE s q READ",
            "PREPARE s READ",
            "BEGIN WRITE",
            "COMMIT ",
            "WRITE a",
            "EXEC s",
            "read a",
            "",
        ).forEach {
            assertEquals(LineStatement.Malformed, LineStatement.parse(it), it)
        }
    }

    // Guards against a text that loses more than the position that stands before it.
    @Test
    fun `a position before the statement is not part of its text`() {
        assertEquals("READ  AFTER 1.1 x", LineRequest.parse("QUERY id AFTER 3.7 READ  AFTER 1.1 x")?.text)
        assertEquals("READ a", LineRequest.parse("QUERY i\nd READ a")?.text)
    }
}
