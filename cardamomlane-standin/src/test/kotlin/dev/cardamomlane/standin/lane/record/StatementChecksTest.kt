package dev.cardamomlane.standin.lane.record

import dev.cardamomlane.standin.lane.caller.CallerAnswer
import dev.cardamomlane.standin.lane.target.GroupFixture
import dev.cardamomlane.standin.lane.target.PreparedPlan
import dev.cardamomlane.standin.lane.target.RunContent
import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlin.test.Test
import kotlin.test.assertEquals

/** What the comparison of sent and run statements finds. Each test guards against a check that finds nothing. */
class StatementChecksTest {
    private val fixture = GroupFixture()
    private val sent = ArrayList<SentStatement>()

    private fun violations() = StatementChecks(fixture.history) { sent }.violations().map { "${it.rule}" }

    private fun sent(
        id: String,
        text: String,
        operation: String = id,
        digest: String? = "a.$id",
        rows: List<String> = emptyList(),
    ) = SentStatement(id, text, operation, answer = digest?.let { CallerAnswer(id, null, it, rows) })

    private fun ran(id: String, content: RunContent, digest: String = "a.$id") =
        fixture.history.onRun("a", id, digest, content)

    @Test
    fun `a statement that ran as it was sent breaks nothing`() {
        sent += sent("1", "READ a", rows = listOf("x\n", ""))
        ran("1", RunContent("READ a", rows = listOf("x\n", "")))
        sent += sent("2", "EXEC s1 a b").copy(plan = PreparedPlan(true, "q 1"), values = mapOf("v" to "1"))
        ran("2", RunContent("EXEC t77 a b", PreparedPlan(true, "q 1"), mapOf("v" to "1")))
        sent += sent("3", "BEGIN", digest = "-")
        assertEquals(emptyList(), violations())
    }

    @Test
    fun `another text is found`() {
        sent += sent("1", "WRITE a x\ny")
        ran("1", RunContent("WRITE a x"))
        assertEquals(listOf("UNASKED"), violations())
    }

    @Test
    fun `other arguments of a plan are found`() {
        sent += sent("1", "EXEC s1 a b").copy(plan = PreparedPlan(true, "q"))
        ran("1", RunContent("EXEC s1 a c", PreparedPlan(true, "q")))
        assertEquals(listOf("UNASKED"), violations())
    }

    @Test
    fun `another shape or access of a plan is found`() {
        listOf(PreparedPlan(true, "r"), PreparedPlan(false, "q"), null).forEachIndexed { index, plan ->
            sent += sent("$index", "EXEC s1 a").copy(plan = PreparedPlan(true, "q"))
            ran("$index", RunContent("EXEC s1 a", plan))
        }
        assertEquals(List(3) { "UNASKED" }, violations())
    }

    @Test
    fun `a statement that nobody sent is found`() {
        ran("x", RunContent("READ a"))
        ran("-", RunContent("READ a"))
        assertEquals(List(2) { "UNASKED" }, violations())
    }

    @Test
    fun `a digest of another statement and one that no target gave are found`() {
        sent += sent("1", "READ a")
        ran("1", RunContent("READ a"))
        sent += sent("2", "READ a", digest = "a.1")
        sent += sent("3", "READ a", digest = "a.9")
        sent += sent("4", "COMMIT", digest = "-")
        val causes = StatementChecks(fixture.history) { sent }.violations().map(Violation::cause)
        val expected = listOf("answer to another statement", "unknown digest", "answer to a statement of a connection")
        assertEquals(expected.sorted(), causes.sorted())
    }

    @Test
    fun `other rows are found`() {
        listOf(emptyList(), listOf("x", "y"), listOf("X")).forEachIndexed { index, rows ->
            sent += sent("$index", "READ a", rows = rows)
            ran("$index", RunContent("READ a", rows = listOf("x")))
        }
        assertEquals(List(3) { "MIXED" }, violations())
    }

    @Test
    fun `other values of the session are found`() {
        sent += sent("1", "READ a").copy(values = mapOf("v" to "1 2"))
        ran("1", RunContent("READ a", values = mapOf("v" to "1")))
        assertEquals(listOf("PINNED"), violations())
    }

    @Test
    fun `a prepared name that is unknown is found`() {
        val answer = CallerAnswer("1", PlatformWords.UNKNOWN_STATEMENT)
        sent += SentStatement("1", "EXEC s1 a", "o", plan = PreparedPlan(true, "q"), answer = answer)
        assertEquals(listOf("PINNED"), violations())
    }

    @Test
    fun `a transaction that changes its place is found`() {
        listOf(1, 2, null).forEachIndexed { index, transaction ->
            sent += sent("$index", "READ a", operation = "o").copy(isInTransaction = true)
            ran("$index", RunContent("READ a", transaction = transaction))
        }
        assertEquals(List(2) { "PINNED" }, violations())
    }

    @Test
    fun `a transaction that serves two operations is found, and a single statement inside of one`() {
        sent += sent("1", "READ a", operation = "o").copy(isInTransaction = true)
        ran("1", RunContent("READ a", transaction = 1))
        sent += sent("2", "READ a")
        ran("2", RunContent("READ a", transaction = 1))
        assertEquals(List(2) { "PINNED" }, violations())
    }

    @Test
    fun `an operation that is kept though a statement of it was refused is found`() {
        sent += SentStatement("1", "COMMIT", "o", answer = CallerAnswer("1", PlatformWords.BUSY))
        fixture.a.commit("1", mapOf("a" to "x")) {}
        sent += SentStatement("2", "COMMIT", "p", answer = CallerAnswer("2", "UNKNOWN"))
        fixture.a.commit("2", mapOf("a" to "x")) {}
        assertEquals(listOf("REFUSED"), violations())
    }

    @Test
    fun `a write that is kept twice is found`() {
        repeat(2) { fixture.a.commit("1", mapOf("a" to "x")) {} }
        assertEquals(listOf("TWICE"), violations())
    }
}
