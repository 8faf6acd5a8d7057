package dev.cardamomlane.standin.sql

import dev.cardamomlane.standin.log.RowChange
import dev.cardamomlane.standin.log.TableName
import java.sql.Connection
import java.sql.PreparedStatement

/** Applies captured row changes on [connection], which the caller owns. Not safe for use by several threads. */
internal class RowApplier(private val connection: Connection) {
    private val statementsByTable = HashMap<TableName, TableStatements>()

    /** Closes the cached statements. Call it after DDL, which may have changed the tables. */
    fun clearCache() {
        statementsByTable.values.forEach(TableStatements::close)
        statementsByTable.clear()
    }

    /** Applies [change]. An update is a delete of the old row and an insert of the new one. */
    fun apply(change: RowChange) {
        val statements = statementsByTable.getOrPut(change.table) { TableStatements(change.table) }
        change.before?.let { delete(statements, it) }
        change.after?.let { insert(statements, it) }
    }

    private fun insert(statements: TableStatements, row: List<Any?>) {
        row.forEachIndexed { index, value -> statements.insert.setObject(index + 1, value) }
        statements.insert.executeUpdate()
    }

    private fun delete(statements: TableStatements, row: List<Any?>) {
        statements.keyColumns.forEachIndexed { index, column -> statements.delete.setObject(index + 1, row[column]) }
        statements.delete.executeUpdate()
    }

    /** The prepared statements for one table. Rows are found by primary key, or by all columns if there is none. */
    private inner class TableStatements(table: TableName) {
        private val columns = columnNames(table)
        val keyColumns: List<Int> = primaryKey(table).ifEmpty { columns.indices.toList() }
        val insert: PreparedStatement = connection.prepareStatement(
            "INSERT INTO ${table.quoted} OVERRIDING SYSTEM VALUE VALUES (${columns.joinToString { "?" }})",
        )
        val delete: PreparedStatement = connection.prepareStatement(
            "DELETE FROM ${table.quoted} WHERE " +
                keyColumns.joinToString(" AND ") { "${TableName.quote(columns[it])} IS NOT DISTINCT FROM ?" } +
                " FETCH FIRST ROW ONLY",
        )

        fun close() {
            insert.close()
            delete.close()
        }

        private fun primaryKey(table: TableName): List<Int> =
            connection.metaData.getPrimaryKeys(null, table.schema, table.table).use { result ->
                buildList { while (result.next()) add(columns.indexOf(result.getString("column_name"))) }
            }
    }

    private fun columnNames(table: TableName): List<String> =
        connection.metaData.getColumns(null, table.schema, table.table, null).use { result ->
            buildList { while (result.next()) add(result.getString("column_name")) }
        }
}
