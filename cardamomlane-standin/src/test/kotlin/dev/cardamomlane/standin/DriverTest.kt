package dev.cardamomlane.standin

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import org.postgresql.util.PSQLException
import java.sql.Connection
import java.sql.Timestamp
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class DriverTest {
    private val fixture = TargetFixture()

    @AfterTest
    fun close() = fixture.close()

    @ParameterizedTest
    @ValueSource(strings = [SIMPLE, PREPARED])
    fun `commits a transaction and rolls another back`(options: String) =
        fixture.connect("a", options).use { connection ->
            connection.autoCommit = false
            insert(connection, "kept")
            connection.commit()
            insert(connection, "dropped")
            connection.rollback()

            assertEquals(listOf<String?>("kept"), connection.column("SELECT id FROM notes"))
        }

    @ParameterizedTest
    @ValueSource(strings = [SIMPLE, PREPARED])
    fun `recovers from an error inside a transaction by a rollback`(options: String) =
        fixture.connect("a", options).use { connection ->
            connection.autoCommit = false
            insert(connection, "n1")
            assertEquals("23505", failure { insert(connection, "n1") })
            assertEquals("25P02", failure { connection.column("SELECT 1") })
            connection.rollback()

            assertEquals(emptyList(), connection.column("SELECT id FROM notes"))
        }

    @ParameterizedTest
    @ValueSource(strings = [SIMPLE, PREPARED])
    fun `rolls back to a savepoint`(options: String) = fixture.connect("a", options).use { connection ->
        connection.autoCommit = false
        insert(connection, "n1")
        val savepoint = connection.setSavepoint("before")
        assertEquals("23505", failure { insert(connection, "n1") })
        connection.rollback(savepoint)
        insert(connection, "n2")
        connection.commit()
        fixture.awaitReplicas()

        val replica = fixture.connect("b").use { it.column("SELECT id FROM notes ORDER BY id") }
        assertEquals(listOf<String?>("n1", "n2"), replica)
    }

    @ParameterizedTest
    @ValueSource(strings = [SIMPLE, PREPARED])
    fun `writes and reads values of every type`(options: String) = fixture.connect("a", options).use { connection ->
        connection.createStatement().use {
            it.execute(
                "CREATE TABLE samples(i int, l bigint, d double precision, n numeric(20, 4), b boolean, t timestamp, v varchar)",
            )
        }
        val time = Timestamp.valueOf("2026-05-01 10:20:30.123456")
        repeat(3) {
            connection.prepareStatement("INSERT INTO samples VALUES (?, ?, ?, ?, ?, ?, ?)").use { insert ->
                listOf(7, 1L shl 40, 2.5, "-1234567.0891".toBigDecimal(), true, time, "š").forEachIndexed {
                        index,
                        value,
                    ->
                    insert.setObject(index + 1, value)
                }
                insert.executeUpdate()
            }
        }
        connection.prepareStatement("SELECT * FROM samples WHERE l = ?").use { select ->
            repeat(3) {
                select.setLong(1, 1L shl 40)
                select.executeQuery().use { rows ->
                    assertTrue(rows.next())
                    assertEquals(7, rows.getInt(1))
                    assertEquals(1L shl 40, rows.getLong(2))
                    assertEquals(2.5, rows.getDouble(3))
                    assertEquals("-1234567.0891", rows.getBigDecimal(4).toPlainString())
                    assertEquals(true, rows.getBoolean(5))
                    assertEquals(time, rows.getTimestamp(6))
                    assertEquals("š", rows.getString(7))
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = [SIMPLE, PREPARED])
    fun `runs a batch and reads a thousand rows`(options: String) = fixture.connect("a", options).use { connection ->
        connection.prepareStatement("INSERT INTO notes(id, author, body) VALUES (?, ?, ?)").use { insert ->
            repeat(1_000) { index ->
                insert.setString(1, "n$index")
                insert.setString(2, "ana")
                insert.setString(3, "body")
                insert.addBatch()
            }
            assertTrue(insert.executeBatch().all { it == 1 })
        }
        connection.autoCommit = false
        assertEquals(1_000, connection.column("SELECT id FROM notes", fetchSize = 64).size)
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "SELEC 1|42601",
            "SELECT * FROM absent|42P01",
            "SELECT absent FROM notes|42703",
            "INSERT INTO notes(id) VALUES (NULL)|23502",
            "SELECT 1 / 0|22012",
            "LISTEN news|0A000",
            "SELECT * FROM cardamomlane_absent()|42883",
            "SHOW absent|42704",
        ],
    )
    fun `reports errors as PostgreSQL does`(sql: String, sqlState: String) = fixture.connect("a").use { connection ->
        assertEquals(sqlState, failure { connection.column(sql) })
        assertEquals(listOf<String?>("1"), connection.column("SELECT 1"))
    }

    @Test
    fun `cancels a statement at the query timeout of the driver`() = fixture.connect("a").use { connection ->
        connection.createStatement().use { statement ->
            statement.queryTimeout = 1
            assertEquals("57014", failure { statement.executeQuery("SELECT pg_sleep(30)") })
        }
        assertEquals(listOf<String?>("1"), connection.column("SELECT 1"))
    }

    @Test
    fun `ends a statement at the statement timeout`() = fixture.connect("a").use { connection ->
        connection.createStatement().use { it.execute("SET statement_timeout = 50") }
        assertEquals("57014", failure { connection.column("SELECT pg_sleep(30)") })
    }

    @Test
    fun `shows and sets the settings that drivers use`() = fixture.connect("a").use { connection ->
        connection.createStatement().use { it.execute("SET application_name = 'desk'") }
        assertEquals(listOf<String?>("desk"), connection.column("SHOW application_name"))
        assertEquals(listOf<String?>("read committed"), connection.column("SHOW TRANSACTION ISOLATION LEVEL"))
        assertEquals("public", connection.row("SELECT current_schema()").single())
        assertTrue(connection.row("SELECT version()").single().orEmpty().startsWith("PostgreSQL"))
    }

    @Test
    fun `returns generated keys`() = fixture.connect("a").use { connection ->
        connection.createStatement().use {
            it.execute("CREATE TABLE sheets(id bigint generated by default as identity primary key, name varchar)")
        }
        connection.prepareStatement("INSERT INTO sheets(name) VALUES (?)", arrayOf("id")).use { insert ->
            insert.setString(1, "legend")
            assertEquals(1, insert.executeUpdate())
            assertTrue(insert.generatedKeys.use { it.next() && it.getLong(1) == 1L })
        }
    }

    private fun insert(connection: Connection, id: String) {
        connection.prepareStatement("INSERT INTO notes(id, author, body) VALUES (?, 'ana', 'body')").use {
            it.setString(1, id)
            it.executeUpdate()
        }
    }

    private fun failure(action: () -> Unit): String? = assertFailsWith<PSQLException> { action() }.sqlState

    private companion object {
        const val SIMPLE = "preferQueryMode=simple"
        const val PREPARED = "prepareThreshold=1"
    }
}
