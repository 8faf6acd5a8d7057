package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.PreparedPlan
import dev.cardamomlane.engine.statement.Statement
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** What a session keeps for its caller is bounded. */
class SessionSizeTest {
    private val fixture = HostFixture()
    private val caller = FakeCaller()
    private val session = fixture.open(caller)

    private fun ask(statement: Statement): CallerAnswer =
        checkNotNull(fixture.ask(session, caller, statement, millis = 0)) { "no answer" }

    private fun prepare(name: String, shape: String = "q") =
        ask(Statement.Prepare(name, PreparedPlan(Access.READ, shape)))

    private fun isRefused(answer: CallerAnswer) = answer.error?.code == ErrorCode.TOO_LARGE

    /** Guards against a caller whose endless names take the host's memory. */
    @Test
    fun `names without end are refused, and the session keeps those that it has`() {
        assertTrue((1..MANY).any { isRefused(prepare("$it")) }, "statements")
        assertTrue(isRefused(ask(Statement.SetValue("n".repeat(LARGE), "v"))))

        assertNull(fixture.ask(session, caller, Statement.Execute("1", "item"))?.error)
        assertEquals(1, fixture.targets.target("p").executed.size)
    }

    @Test
    fun `values without end are refused`() {
        assertTrue((1..MANY).any { isRefused(ask(Statement.SetValue("$it", "v"))) })
    }

    /** Guards against a refusal of what the caller has replaced or closed since. */
    @Test
    fun `only what is kept at the same time counts`() {
        val large = "x".repeat(LARGE)
        repeat(5) {
            assertNull(ask(Statement.SetValue("a", "$it$large")).error)
        }
        assertNull(ask(Statement.SetValue("a", "")).error)
        repeat(5) {
            assertNull(prepare("s", "$it$large").error)
        }
        repeat(5) {
            assertNull(ask(Statement.Close("s")).error)
            assertNull(prepare("t$it", large).error)
            assertNull(ask(Statement.Close("t$it")).error)
        }
        assertNull(ask(Statement.SetValue("b", large)).error)
    }

    /** Guards against a value or plan that counts although the caller was told that it was refused. */
    @Test
    fun `a refused value or plan leaves the one before`() {
        val large = "x".repeat(LARGE)
        ask(Statement.SetValue("a", "first"))
        prepare("s", "first")
        assertNull(ask(Statement.SetValue("b", large)).error)

        assertTrue(isRefused(ask(Statement.SetValue("a", large))))
        assertTrue(isRefused(prepare("s", large)))

        fixture.ask(session, caller, Statement.Execute("s", "item"))
        assertEquals("first", fixture.targets.target("p").executed.single().plan.shape)
        assertTrue(fixture.targets.links.any { it.values == mapOf("a" to "first", "b" to large) })
    }

    private companion object {
        /** More names than a host may keep for one caller. */
        const val MANY = 100_000

        /** The size of the largest values and shapes of one message. */
        const val LARGE = 1_000_000
    }
}
