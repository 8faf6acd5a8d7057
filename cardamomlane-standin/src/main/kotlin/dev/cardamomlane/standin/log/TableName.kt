package dev.cardamomlane.standin.log

/** A table within its schema. */
internal data class TableName(val schema: String, val table: String) {
    /** The name as SQL text, quoted. */
    val quoted: String = "${quote(schema)}.${quote(table)}"

    companion object {
        fun quote(identifier: String): String = "\"${identifier.replace("\"", "\"\"")}\""
    }
}
