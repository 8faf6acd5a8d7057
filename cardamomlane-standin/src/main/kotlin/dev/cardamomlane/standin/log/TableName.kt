package dev.cardamomlane.standin.log

/** The name of a table and of its schema. */
internal data class TableName(val schema: String, val table: String) {
    /** The qualified name as SQL text, with both parts quoted. */
    val quoted: String = "${quote(schema)}.${quote(table)}"

    companion object {
        fun quote(identifier: String): String = "\"${identifier.replace("\"", "\"\"")}\""
    }
}
