package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.core.limits.RefusalReason
import dev.cardamomlane.wire.ServerError
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.postgresql.util.PSQLException
import java.sql.Connection
import java.sql.ResultSet
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/**
 * For each fault of a target: the outcome that the caller gets, and how often its statement is sent to each target. The
 * tests guard against writes that run twice, and against statements reported as not run although they may have run.
 */
class UnitOutcomeTest {
    private val rows = FakeTarget.Answer.Rows(listOf("row"))
    private val done = FakeTarget.Answer.Done("INSERT 0 1")
    private val readOnly = FakeTarget.Answer.Error(ServerError("25006", "read only"))
    private val refused = FakeTarget.Answer.Error(ServerError("53300", "too many", detail = "not run"))

    private class Case(
        val name: String,
        val sql: String,
        val one: () -> FakeTarget,
        val two: () -> FakeTarget,
        val outcome: String,
        val sentToOne: Int,
        val sentToTwo: Int,
    )

    private fun target(answer: FakeTarget.Answer, applied: String = "1:10", confirm: Boolean? = true) =
        FakeTarget(applied = applied, confirm = confirm) { answer }

    private val cases = listOf(
        Case("a read", READ, { target(rows) }, { target(rows) }, "row", 1, 0),
        Case("a confirmed write", WRITE, { target(done) }, { target(done) }, "1", 1, 0),
        Case(
            "a once-only write whose connection closes unanswered",
            WRITE,
            { target(FakeTarget.Answer.Close) },
            { target(done) },
            UNKNOWN,
            1,
            0,
        ),
        Case("a write without confirmation", WRITE, { target(done, confirm = false) }, { target(done) }, UNKNOWN, 1, 0),
        Case(
            "a write whose connection closes before its confirmation",
            WRITE,
            { target(done, confirm = null) },
            { target(done) },
            UNKNOWN,
            1,
            0,
        ),
        Case("a write that a replica refuses", WRITE, { target(readOnly) }, { target(done) }, "1", 1, 1),
        Case(
            "a repeatable read whose connection closes unanswered",
            READ,
            { target(FakeTarget.Answer.Close) },
            { target(rows) },
            "row",
            1,
            1,
        ),
        Case(
            "a repeatable read whose connection closes after a row",
            READ,
            { target(FakeTarget.Answer.RowsThenClose(listOf("half"))) },
            { target(rows) },
            UNKNOWN,
            1,
            0,
        ),
        Case(
            "a read that no rule allows to run more than once",
            "SELECT body FROM secrets",
            { target(FakeTarget.Answer.Close) },
            { target(rows) },
            UNKNOWN,
            1,
            0,
        ),
        Case(
            "a statement that breaks a constraint",
            WRITE,
            { target(FakeTarget.Answer.Error(ServerError("23505", "duplicate"))) },
            { target(done) },
            "23505 null",
            1,
            0,
        ),
    )

    @TestFactory
    fun `each fault has one outcome`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val one = case.one()
            val two = case.two()
            DataPathFixture(one, two).use { path ->
                path.connect().use { assertEquals(case.outcome, run(it, case.sql)) }
            }
            assertEquals(case.sentToOne, one.statements.count { it == case.sql }, "sent to one")
            assertEquals(case.sentToTwo, two.statements.count { it == case.sql }, "sent to two")
            one.close()
            two.close()
        }
    }

    /** Guards against a session whose reads are refused for good, as its position is not one of this log. */
    @Test
    fun `a read is served though the position given at startup is beyond its log`() {
        val one = target(rows)
        DataPathFixture(one, target(rows)).use { path ->
            for (position in listOf("1:900", "9:1@orders-1")) {
                path.connect(position = position).use { assertEquals("row", run(it, READ), position) }
            }
        }
        assertEquals(
            4,
            one.statements.count {
                it == READ
            },
            "each first answer is discarded, as the primary may be replaced",
        )
    }

    /** Guards against a position in the log of one database that is taken for one of another. */
    @Test
    fun `a position of another database counts for nothing`() {
        val one = target(rows)
        DataPathFixture(one, target(rows)).use { path ->
            path.connect(position = "1:900@payments").use { assertEquals("row", run(it, READ)) }
        }
        assertEquals(1, one.statements.count { it == READ })
    }

    @Test
    fun `a read whose answers are all stale is refused as not run at its deadline`() {
        val stale = target(rows, applied = "1:4")
        DataPathFixture(stale, target(rows, applied = "1:4"), startDeadlineMillis = 200).use { path ->
            path.connect().use { assertEquals("57P03 not run", run(it, READ)) }
        }
    }

    @Test
    fun `a statement that targets refuse as not run is sent again until its deadline`() {
        DataPathFixture(target(refused), target(refused), startDeadlineMillis = 200).use { path ->
            path.connect().use { assertEquals("57P03 not run", run(it, READ)) }
        }
    }

    @Test
    fun `after a BEGIN is lost with its connection no statement runs until the transaction ends`() {
        val one = FakeTarget { sql -> if (sql == "BEGIN") FakeTarget.Answer.Close else done }
        DataPathFixture(one, target(done)).use { path ->
            path.connect().use { connection ->
                connection.autoCommit = false
                assertEquals(UNKNOWN, run(connection, WRITE))
                assertEquals("25P02 not run", run(connection, WRITE))
                connection.rollback()
                connection.autoCommit = true
                assertEquals("1", run(connection, WRITE))
            }
        }
        assertEquals(listOf("BEGIN", WRITE), one.statements)
    }

    @Test
    fun `a statement that is refused is sent to no target`() {
        val one = target(rows)
        DataPathFixture(one, target(rows)).use { path ->
            path.connect().use { connection ->
                path.gate.admission = Admission.Refused(RefusalReason.OVER_RATE, retryAfterMillis = 20)
                assertEquals("53400 not run", run(connection, READ))
                path.gate.admission = Admission.Admitted
                assertEquals("0A000 not run", run(connection, "LISTEN news"))
                assertEquals("row", run(connection, READ))
            }
        }
        assertEquals(listOf(READ), one.statements)
    }

    @Test
    fun `a withdrawn key ends an open session at its next statement`() {
        val one = target(rows)
        DataPathFixture(one, target(rows)).use { path ->
            path.connect().use { connection ->
                assertEquals("row", run(connection, READ))
                path.gate.isKeyGranted = false
                assertEquals("28P01 not run", run(connection, READ))
            }
        }
        assertEquals(1, one.statements.size)
    }

    @Test
    fun `a host that is not in good standing accepts no statement`() {
        val one = target(rows)
        DataPathFixture(one, target(rows)).use { path ->
            path.connect().use { connection ->
                path.gate.isInStanding = false
                assertEquals("57P03 not run", run(connection, READ))
            }
        }
        assertEquals(0, one.statements.size)
    }

    @Test
    fun `a caller without a key runs only statements whose rule is open`() {
        DataPathFixture(target(rows), target(rows)).use { path ->
            path.connect(user = "anybody", key = "").use { connection ->
                assertEquals("row", run(connection, "SELECT body FROM legend"))
                assertEquals("28000 not run", run(connection, READ))
            }
        }
    }

    @Test
    fun `startup refuses a wrong key and an unknown database`() {
        DataPathFixture(target(rows), target(rows)).use { path ->
            assertEquals("28P01", assertFailsWith<PSQLException> { path.connect(key = "other") }.sqlState)
            assertEquals("3D000", assertFailsWith<PSQLException> { path.connect(database = "none") }.sqlState)
        }
    }

    private fun run(connection: Connection, sql: String): String = try {
        connection.createStatement().use { statement ->
            if (statement.execute(sql)) lastText(statement.resultSet) else statement.updateCount.toString()
        }
    } catch (error: PSQLException) {
        "${error.sqlState} ${error.serverErrorMessage?.detail}"
    }

    private fun lastText(rows: ResultSet): String {
        var text = ""
        while (rows.next()) text = rows.getString(1)
        return text
    }

    private companion object {
        const val READ = "SELECT body FROM notes"
        const val WRITE = "INSERT INTO notes VALUES (1)"
        const val UNKNOWN = "08007 outcome unknown"
    }
}
