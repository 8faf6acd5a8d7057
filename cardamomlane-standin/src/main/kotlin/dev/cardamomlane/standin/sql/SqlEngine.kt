package dev.cardamomlane.standin.sql

import dev.cardamomlane.standin.log.LogRecord
import dev.cardamomlane.standin.log.RecordBody
import dev.cardamomlane.standin.log.TableName
import org.h2.jdbcx.JdbcDataSource
import java.sql.Connection
import java.sql.SQLException
import java.util.concurrent.atomic.AtomicLong

/**
 * An embedded H2 database in memory that holds the data of one target.
 *
 * Triggers on its tables capture row changes. Replicas apply the captured rows, so values of defaults such as
 * `current_timestamp` are equal on every target.
 */
internal class SqlEngine(name: String) : AutoCloseable {
    private val source = JdbcDataSource().apply {
        setURL("jdbc:h2:mem:$name-${nextEngine.incrementAndGet()};$OPTIONS")
    }
    private val applyConnection = source.connection
    private val rowApplier = RowApplier(applyConnection)

    init {
        applyConnection.createStatement().use { statement -> SqlFunctions.createStatements.forEach(statement::execute) }
        // The primary has checked the rows that replicas apply, and their order may violate constraints for a while.
        setConstraintChecks(false)
        applyConnection.autoCommit = false
    }

    /** Opens a connection. The caller closes it. */
    fun connect(): Connection = source.connection

    /** Applies one log record and commits. Throws [SQLException] after a rollback if it fails. */
    fun apply(record: LogRecord) {
        try {
            when (val body = record.body) {
                RecordBody.TermStart -> Unit
                is RecordBody.Ddl -> runDdl(applyConnection, body.sql)
                is RecordBody.Changes -> body.rows.forEach(rowApplier::apply)
            }
            applyConnection.commit()
        } catch (error: SQLException) {
            applyConnection.rollback()
            throw error
        }
    }

    /** Runs a DDL statement on [connection], creates triggers for new tables and commits. */
    fun runDdl(connection: Connection, sql: String) {
        connection.createStatement().use { it.execute(sql) }
        connection.createStatement().use { statement ->
            tables(connection).forEach { statement.execute(createTrigger(it)) }
        }
        connection.commit()
        rowApplier.clearCache()
    }

    /** Enables writes of clients: checks constraints, and restarts identity columns after their highest value. */
    fun prepareForWrites() {
        setConstraintChecks(true)
        tables(applyConnection).forEach(::restartIdentities)
        applyConnection.commit()
    }

    /** Returns the engine to a replica's mode, in which constraints are not checked. */
    fun prepareForReplication() {
        setConstraintChecks(false)
    }

    override fun close() {
        applyConnection.createStatement().use { it.execute("SHUTDOWN IMMEDIATELY") }
    }

    private fun setConstraintChecks(on: Boolean) {
        applyConnection.createStatement().use { it.execute("SET REFERENTIAL_INTEGRITY $on") }
    }

    private fun restartIdentities(table: TableName) {
        val columns = applyConnection.prepareStatement(IDENTITY_COLUMNS).use { statement ->
            statement.setString(1, table.schema)
            statement.setString(2, table.table)
            statement.executeQuery().use { result -> buildList { while (result.next()) add(result.getString(1)) } }
        }
        applyConnection.createStatement().use { statement ->
            columns.map(TableName::quote).forEach { column ->
                statement.execute(
                    "ALTER TABLE ${table.quoted} ALTER COLUMN $column " +
                        "RESTART WITH (SELECT COALESCE(MAX($column), 0) + 1 FROM ${table.quoted})",
                )
            }
        }
    }

    private fun tables(connection: Connection): List<TableName> = connection.createStatement().use { statement ->
        statement.executeQuery(BASE_TABLES).use { result ->
            buildList { while (result.next()) add(TableName(result.getString(1), result.getString(2))) }
        }
    }

    private fun createTrigger(table: TableName): String {
        val trigger = "${TableName.quote(table.schema)}.${TableName.quote("capture_" + table.table)}"
        return "CREATE TRIGGER IF NOT EXISTS $trigger AFTER INSERT, UPDATE, DELETE ON ${table.quoted} " +
            "FOR EACH ROW CALL '${ChangeTrigger::class.java.name}'"
    }

    private companion object {
        const val OPTIONS = "MODE=PostgreSQL;DATABASE_TO_LOWER=TRUE;DEFAULT_NULL_ORDERING=HIGH;" +
            "DB_CLOSE_DELAY=-1;LOCK_TIMEOUT=1000"
        const val BASE_TABLES = "SELECT table_schema, table_name FROM information_schema.tables " +
            "WHERE table_type = 'BASE TABLE' AND table_schema NOT IN ('information_schema', 'pg_catalog')"
        const val IDENTITY_COLUMNS = "SELECT column_name FROM information_schema.columns " +
            "WHERE table_schema = ? AND table_name = ? AND is_identity = 'YES'"
        val nextEngine = AtomicLong()
    }
}
