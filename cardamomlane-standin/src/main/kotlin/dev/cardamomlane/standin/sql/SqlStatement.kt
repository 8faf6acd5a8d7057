package dev.cardamomlane.standin.sql

/**
 * One classified statement.
 *
 * @property text the statement in the engine's dialect
 * @property words its first words in upper case, at most [SqlReader.MAX_LEADING_WORDS]
 */
internal data class SqlStatement(val text: String, val kind: StatementKind, val words: List<String>) {
    /** The command tag of the answer. [rows] is the number of rows returned or changed. */
    fun tag(rows: Long): String = when (val first = words.firstOrNull().orEmpty()) {
        "INSERT" -> "INSERT 0 $rows"
        "SELECT", "VALUES", "TABLE", "WITH" -> "SELECT $rows"
        "UPDATE", "DELETE", "MERGE" -> "$first $rows"
        "CREATE", "DROP", "ALTER" -> "$first ${words.getOrElse(1) { "" }}".trim()
        else -> first
    }
}
