package dev.cardamomlane.bench.history

import kotlinx.serialization.Serializable

/**
 * All operations of a run and what the databases held after it.
 *
 * @property finalRows the names of the rows in each database, read from its primary after the run
 */
@Serializable
internal data class History(val operations: List<Operation>, val finalRows: Map<String, List<String>>) {
    /** The rows in [database] that the statement [statement] left. */
    fun rowsOf(database: String, statement: String): List<String> = rowsByStatement[database]?.get(statement).orEmpty()

    private val rowsByStatement: Map<String, Map<String, List<String>>> by lazy {
        finalRows.mapValues { (_, rows) -> rows.groupBy { statementOf(it) } }
    }

    companion object {
        /** The statement that wrote the row [row]. */
        fun statementOf(row: String): String = row.substringBeforeLast('#')
    }
}
