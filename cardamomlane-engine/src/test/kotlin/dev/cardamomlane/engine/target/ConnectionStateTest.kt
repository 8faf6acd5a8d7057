package dev.cardamomlane.engine.target

import dev.cardamomlane.engine.session.SessionState
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.PreparedPlan
import dev.cardamomlane.engine.statement.TargetStatement
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class ConnectionStateTest {
    private val connection = ConnectionState()

    private fun plan(shape: String) = PreparedPlan(Access.READ, shape)

    private fun stepsTo(values: Map<String, String> = emptyMap(), vararg plans: PreparedPlan) =
        connection.stepsTo(SessionState(values, plans.toList()))

    /** Brings the connection to a state and returns the statements for that. */
    private fun set(values: Map<String, String> = emptyMap(), vararg plans: PreparedPlan) =
        stepsTo(values, *plans).onEach(connection::onSuccess)

    private fun nameIn(steps: List<TargetStatement>) = steps.filterIsInstance<TargetStatement.Prepare>().single().name

    /** Guards against a name that runs an earlier plan, if the target did not drop it. */
    @Test
    fun `a name is not given out again after a reset, a close or a failure`() {
        val names = ArrayList<String>()
        fun record(steps: List<TargetStatement>) =
            steps.filterIsInstance<TargetStatement.Prepare>().mapTo(names) { it.name }

        repeat(ConnectionState.MAX_PLANS + 10) { record(set(plans = arrayOf(plan("$it")))) }
        record(set(mapOf("a" to "1"), plan("x")))
        record(set(emptyMap(), plan("x")))
        record(stepsTo(emptyMap(), plan("failed")))
        record(set(emptyMap(), plan("failed")))

        assertEquals(ConnectionState.MAX_PLANS + 14, names.size)
        assertEquals(names.size, names.toSet().size, "$names")
        assertTrue(names.none { ' ' in it || it.isEmpty() })
    }

    /** Guards against a caller's value or plan that is taken as set although the target refused it. */
    @Test
    fun `a value or plan counts only once it succeeded`() {
        val first = stepsTo(mapOf("a" to "1"), plan("x"))
        val second = stepsTo(mapOf("a" to "1"), plan("x"))

        assertEquals(listOf(TargetStatement.SetValue("a", "1")), second.filterIsInstance<TargetStatement.SetValue>())
        assertEquals(first.size, second.size)
        assertFailsWith<IllegalStateException> { connection.nameOf(plan("x")) }
    }

    /** Guards against endless plans at the target, and against closing the plan that the next statement executes. */
    @Test
    fun `beyond the bound the plan that was not used for longest is closed`() {
        val names = List(ConnectionState.MAX_PLANS) { nameIn(set(plans = arrayOf(plan("$it")))) }
        set(plans = arrayOf(plan("0")))

        val steps = set(plans = arrayOf(plan("0"), plan("new")))

        assertEquals(
            listOf(TargetStatement.Close(names[1]), TargetStatement.Prepare(nameIn(steps), plan("new"))),
            steps,
        )
        assertEquals(TargetStatement.Close(names[2]), set(plans = arrayOf(plan("1"))).first())
    }

    /** Guards against memory that grows with the shapes of callers. */
    @Test
    fun `long shapes are closed before their number reaches the bound`() {
        val half = (ConnectionState.MAX_SHAPE_BYTES / 2).toInt()
        val oldest = nameIn(set(plans = arrayOf(plan("a".repeat(half)))))
        set(plans = arrayOf(plan("b".repeat(half))))

        assertEquals(TargetStatement.Close(oldest), set(plans = arrayOf(plan("c"))).first())
    }

    @Test
    fun `a plan stays while a statement needs it, however long its shape is`() {
        val long = plan("a".repeat(ConnectionState.MAX_SHAPE_BYTES.toInt()))
        set(plans = arrayOf(long))

        val steps = set(plans = arrayOf(long, plan("b")))

        assertEquals(listOf(TargetStatement.Prepare(connection.nameOf(plan("b")), plan("b"))), steps)
    }

    @Test
    fun `values of others are dropped by a reset, which drops the plans`() {
        set(mapOf("a" to "1", "b" to "2"), plan("x"))

        val steps = set(mapOf("a" to "1"), plan("x"))

        val prepared = TargetStatement.Prepare(connection.nameOf(plan("x")), plan("x"))
        assertEquals(listOf(TargetStatement.Reset, TargetStatement.SetValue("a", "1"), prepared), steps)
    }

    @Test
    fun `a value that differs only in a trailing blank or is empty is set again`() {
        for (value in listOf("x", "x ", "", " ")) {
            assertEquals(listOf(TargetStatement.SetValue("a", value)), set(mapOf("a" to value)))
        }
    }
}
