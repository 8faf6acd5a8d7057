package dev.cardamomlane.bench.history

import kotlinx.serialization.Serializable

/**
 * All operations of a run and the rows that the databases held after it.
 *
 * @property finalRows by database, the names of its rows, read from its primary after the run
 */
@Serializable
internal data class History(val operations: List<Operation>, val finalRows: Map<String, List<String>>) {
    /** The names of the rows in [database] that [statement] wrote: one for each time that it ran. */
    fun rowsOf(database: String, statement: String): List<String> = rowsByStatement[database]?.get(statement).orEmpty()

    private val rowsByStatement: Map<String, Map<String, List<String>>> by lazy {
        finalRows.mapValues { (_, rows) -> rows.groupBy { statementOf(it) } }
    }

    companion object {
        /** The name of the statement that wrote the row named [row]. */
        fun statementOf(row: String): String = row.substringBeforeLast('#')
    }
}
