package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.ExecutedPlan
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.PreparedPlan
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.TargetStatement
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Callers' prepared statements run at the target with the shape, access and arguments that the caller sent. */
class PreparedStatementTest {
    private val fixture = HostFixture()
    private val caller = FakeCaller()
    private val session = fixture.open(caller)
    private val primary = fixture.targets.target("p")

    private fun prepare(name: String, plan: PreparedPlan) =
        assertNull(fixture.ask(session, caller, Statement.Prepare(name, plan))?.error)

    private fun execute(name: String, arguments: String): CallerAnswer? =
        fixture.ask(session, caller, Statement.Execute(name, arguments))

    private fun assertRuns(plan: PreparedPlan, arguments: String = "item") {
        prepare("s", plan)
        primary.executed.clear()

        assertNull(execute("s", arguments)?.error)

        assertEquals(listOf(ExecutedPlan(plan, arguments)), primary.executed)
    }

    /** Guards against a shape whose words are taken for other fields of the statement. */
    @Test
    fun `shapes with blanks run as prepared`() {
        for (access in Access.entries) {
            for (shape in listOf("a b", " a", "a ", " ", "a  b", "a READ b", "a WRITE b")) {
                assertRuns(PreparedPlan(access, shape))
            }
        }
    }

    /** Guards against a read that takes effect as a write. */
    @Test
    fun `a read whose shape names another access writes nothing`() {
        prepare("s", PreparedPlan(Access.READ, "q WRITE other"))

        execute("s", "item data")

        assertTrue(primary.log.isEmpty(), "written: ${primary.log}")
    }

    /** Guards against an execution that runs the plan of another name. */
    @Test
    fun `a plan whose shape begins with another plan's does not replace it`() {
        val first = PreparedPlan(Access.READ, "a")
        prepare("one", first)
        execute("one", "item")
        prepare("two", PreparedPlan(Access.READ, "a READ b"))
        execute("two", "item")
        primary.executed.clear()

        execute("one", "item")

        assertEquals(listOf(ExecutedPlan(first, "item")), primary.executed)
    }

    /** Guards against two plans that share a name at the target. */
    @Test
    fun `plans that differ only in access, or whose shapes look like names, run as prepared`() {
        val shapes = listOf("x", "r_x", "w_x", "1", "2", "r_1", "-", "")
        val plans = shapes.flatMap { shape -> Access.entries.map { PreparedPlan(it, shape) } }
        repeat(2) { plans.forEach { assertRuns(it) } }
    }

    /** Guards against bytes that are lost or taken for separators. */
    @Test
    fun `shapes of any byte, and long ones, run as prepared`() {
        assertRuns(PreparedPlan(Access.READ, (0..255).joinToString("") { it.toChar().toString() }))
        assertRuns(PreparedPlan(Access.READ, "x".repeat(100_000)))
    }

    /** Guards against a statement to a target that is larger than what the caller sent. */
    @Test
    fun `the name of a long shape at a target is short`() {
        assertRuns(PreparedPlan(Access.READ, "x".repeat(100_000)))

        val names = fixture.targets.links.flatMap { it.plans.names }

        assertTrue(names.all { it.length <= 20 }, "length ${names.maxOf { it.length }}")
    }

    @Test
    fun `arguments reach the target as sent`() {
        for (arguments in listOf("", " ", "a  b ", "a\nb", "\u00ff\u0000")) {
            assertRuns(PreparedPlan(Access.READ, "q"), arguments)
        }
    }

    @Test
    fun `preparing a name again replaces its plan`() {
        assertRuns(PreparedPlan(Access.READ, "a"))
        assertRuns(PreparedPlan(Access.READ, "b"))
        assertRuns(PreparedPlan(Access.READ, "a"))
    }

    @Test
    fun `a closed name is unknown, also while its plan is prepared at the target`() {
        assertRuns(PreparedPlan(Access.READ, "a"))
        fixture.ask(session, caller, Statement.Close("s"))

        assertEquals(ErrorCode.UNKNOWN_STATEMENT, execute("s", "item")?.error?.code)
    }

    /** Guards against a caller that runs the plan of another one whose name is the same. */
    @Test
    fun `equal names of two callers run their own plans on a shared connection`() {
        val other = FakeCaller()
        val otherSession = fixture.open(other)
        val plans = listOf(PreparedPlan(Access.READ, "a"), PreparedPlan(Access.WRITE, "a"))
        prepare("s\u00ff\n", plans[0])
        fixture.ask(otherSession, other, Statement.Prepare("s\u00ff\n", plans[1]))

        repeat(2) {
            execute("s\u00ff\n", "item x")
            fixture.ask(otherSession, other, Statement.Execute("s\u00ff\n", "item x"))
        }

        assertEquals(List(2) { plans }.flatten(), primary.executed.map { it.plan })
        assertEquals(1, fixture.targets.links.count { link -> link.sent.any { it is TargetStatement.Execute } })
    }

    /** Guards against an operation on a connection whose values or plans are not those of its session. */
    @Test
    fun `a connection on which a value or a plan was refused is closed and not used`() {
        for (isRefused in REFUSED_STEPS) {
            val fixture = HostFixture()
            val session = fixture.open(caller)
            val refusals = ArrayDeque(listOf(true))
            fixture.targets.target("p").refuses =
                { if (isRefused(it) && refusals.removeFirstOrNull() == true) ErrorCode.FAILED else null }
            fixture.ask(session, caller, Statement.SetValue("a", "b"))
            fixture.ask(session, caller, Statement.Prepare("s", PreparedPlan(Access.READ, "q")))

            assertNull(fixture.ask(session, caller, Statement.Execute("s", "item"))?.error)

            val refused = fixture.targets.links.single { link -> link.sent.any(isRefused) && link.isClosedByHost }
            assertTrue(refused.sent.none { it is TargetStatement.Execute })
            assertTrue(refusals.isEmpty())
            assertEquals(1, fixture.targets.target("p").executed.size)
        }
    }

    /** Guards against a caller who is told that a statement is unknown that it was told is prepared. */
    @Test
    fun `a transaction whose target has lost a plan is aborted, and runs when it is tried again`() {
        prepare("s", PreparedPlan(Access.WRITE, "q"))
        primary.refusals += ErrorCode.UNKNOWN_STATEMENT

        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        assertEquals(ErrorCode.ABORTED, execute("s", "item x")?.error?.code)
        assertEquals(ErrorCode.ABORTED, fixture.ask(session, caller, Statement.Commit)?.error?.code)
        assertTrue(primary.log.isEmpty() && fixture.targets.links.none { it.isInTransaction })

        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        assertNull(execute("s", "item x")?.error)
        assertNull(fixture.ask(session, caller, Statement.Commit)?.error)
        assertEquals(listOf("w_q item x"), primary.log)
    }

    /** Guards against endless plans at targets: callers prepare more than a connection keeps, and each runs as prepared. */
    @Test
    fun `more plans than a connection keeps run as prepared, also when they come again`() {
        val plans = List(200) { PreparedPlan(Access.entries[it % 2], "q$it") }

        repeat(2) { plans.forEach { assertRuns(it) } }

        assertTrue(fixture.targets.links.all { it.plans.names.size <= 64 })
    }

    private companion object {
        val REFUSED_STEPS = listOf<(TargetStatement) -> Boolean>(
            { it is TargetStatement.SetValue },
            { it is TargetStatement.Prepare },
        )
    }
}
