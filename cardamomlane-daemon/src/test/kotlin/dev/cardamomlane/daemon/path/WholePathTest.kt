package dev.cardamomlane.daemon.path

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.postgresql.PGConnection
import org.postgresql.util.PSQLException
import java.sql.Connection
import java.util.UUID
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** An unmodified JDBC driver through two daemons, in both of its query modes. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class WholePathTest {
    private val path = PathFixture()

    @AfterAll
    fun close() = path.close()

    @ParameterizedTest
    @ValueSource(strings = [SIMPLE, EXTENDED])
    fun `a write through one daemon is read through the other`(mode: String) {
        val id = newId()
        path.connect(0, mode).use { writer ->
            writer.insert(id)
            val position = writer.unwrap(PGConnection::class.java).getParameterStatus("cardamomlane.position")
            path.connect(1, "$mode&options=-c%20cardamomlane.position=$position").use { assertEquals(1, it.count(id)) }
            path.connect(1, mode).use { assertEquals(1, it.count(id)) }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = [SIMPLE, EXTENDED])
    fun `a transaction is visible as a whole or not at all`(mode: String) {
        val kept = newId()
        val dropped = newId()
        path.connect(0, mode).use { connection ->
            connection.autoCommit = false
            connection.insert(kept)
            connection.insert("$kept-2")
            connection.commit()
            connection.insert(dropped)
            connection.rollback()
            assertEquals(2, connection.count(kept))
            assertEquals(0, connection.count(dropped))
        }
    }

    @ParameterizedTest
    @ValueSource(strings = [SIMPLE, EXTENDED])
    fun `a batch and a result of a thousand rows arrive complete`(mode: String) {
        val id = newId()
        path.connect(0, mode).use { connection ->
            connection.prepareStatement("INSERT INTO notes(id) VALUES (?)").use { statement ->
                repeat(1_000) {
                    statement.setString(1, "$id-$it")
                    statement.addBatch()
                }
                assertEquals(1_000, statement.executeBatch().size)
            }
            assertEquals(1_000, connection.count(id))
        }
    }

    @ParameterizedTest
    @ValueSource(strings = [SIMPLE, EXTENDED])
    fun `a session continues after an error, in and out of a transaction`(mode: String) {
        val id = newId()
        path.connect(0, mode).use { connection ->
            connection.insert(id)
            assertEquals("23505", assertFailsWith<PSQLException> { connection.insert(id) }.sqlState)
            connection.autoCommit = false
            assertEquals("23505", assertFailsWith<PSQLException> { connection.insert(id) }.sqlState)
            assertEquals("25P02", assertFailsWith<PSQLException> { connection.count(id) }.sqlState)
            connection.rollback()
            assertEquals(1, connection.count(id))
        }
    }

    @ParameterizedTest
    @ValueSource(strings = [SIMPLE, EXTENDED])
    fun `a refusal inside a transaction aborts it`(mode: String) {
        val id = newId()
        path.connect(0, mode).use { connection ->
            connection.autoCommit = false
            connection.insert(id)
            assertEquals("0A000", assertFailsWith<PSQLException> { connection.text("LISTEN news") }.sqlState)
            assertEquals("25P02", assertFailsWith<PSQLException> { connection.insert("$id-2") }.sqlState)
            connection.rollback()
            assertEquals(0, connection.count(id))
        }
    }

    @ParameterizedTest
    @ValueSource(strings = [SIMPLE, EXTENDED])
    fun `a query timeout cancels the statement on the target`(mode: String) {
        path.connect(0, mode).use { connection ->
            connection.createStatement().use { statement ->
                statement.queryTimeout = 1
                assertEquals(
                    "57014",
                    assertFailsWith<PSQLException> {
                        statement.execute("SELECT pg_sleep(60)")
                    }.sqlState,
                )
            }
            assertEquals(0, connection.count(newId()))
        }
    }

    @ParameterizedTest
    @ValueSource(strings = [SIMPLE, EXTENDED])
    fun `session parameters apply to their own session only`(mode: String) {
        path.connect(0, mode).use { one ->
            path.connect(0, mode).use { other ->
                one.createStatement().execute("SET application_name TO 'one'")
                repeat(8) {
                    assertEquals("PostgreSQL JDBC Driver", other.text("SHOW application_name"))
                    assertEquals("one", one.text("SHOW application_name"))
                }
                one.autoCommit = false
                one.createStatement().execute("SET application_name TO 'two'")
                one.rollback()
                assertEquals("one", one.text("SHOW application_name"))
            }
        }
    }

    @Test
    fun `two hundred callers share few connections`() {
        val id = newId()
        val threads = Executors.newFixedThreadPool(200)
        val tasks = List(200) { caller ->
            Callable {
                path.connect(caller % 2, EXTENDED).use { connection ->
                    repeat(3) { connection.insert("$id-$caller-$it") }
                    connection.count("$id-$caller-")
                }
            }
        }
        val counts = threads.invokeAll(tasks).map { it.get() }
        threads.shutdown()

        assertEquals(List(200) { 3 }, counts)
    }

    @Test
    fun `a statement of sixteen megabytes is accepted`() {
        val id = newId()
        path.connect(0, EXTENDED).use { connection ->
            connection.prepareStatement("INSERT INTO notes(id, body) VALUES (?, ?)").use {
                it.setString(1, id)
                it.setString(2, "x".repeat(16 shl 20))
                assertEquals(1, it.executeUpdate())
            }
            assertEquals("${16 shl 20}", connection.text("SELECT length(body) FROM notes WHERE id = '$id'"))
        }
    }

    @Test
    fun `a message above the limit ends its session and no other`() {
        path.connect(0, EXTENDED).use { other ->
            path.connect(0, EXTENDED).use { connection ->
                val sql = "SELECT '" + "x".repeat(33 shl 20) + "'"
                assertEquals("54000", assertFailsWith<PSQLException> { connection.text(sql) }.sqlState)
            }
            assertEquals(0, other.count(newId()))
        }
    }

    private fun newId() = UUID.randomUUID().toString()

    private fun Connection.insert(id: String) = prepareStatement("INSERT INTO notes(id) VALUES (?)").use {
        it.setString(1, id)
        assertEquals(1, it.executeUpdate())
    }

    private fun Connection.count(idPrefix: String): Int =
        prepareStatement("SELECT id FROM notes WHERE id LIKE ?").use { statement ->
            statement.setString(1, "$idPrefix%")
            statement.executeQuery().use { rows -> generateSequence { if (rows.next()) Unit else null }.count() }
        }

    private fun Connection.text(sql: String): String = createStatement().use { statement ->
        statement.executeQuery(sql).use { rows ->
            rows.next()
            rows.getString(1)
        }
    }

    private companion object {
        const val SIMPLE = "preferQueryMode=simple"
        const val EXTENDED = "prepareThreshold=1"
    }
}
