package dev.cardamomlane.core

/**
 * The location of a character in a text file. Lines and columns count from 1.
 *
 * @property file the name of the file as the operator gave it
 */
public data class SourceLocation(val file: String, val line: Int, val column: Int) {
    init {
        require(line >= 1) { "line must be at least 1 but was $line" }
        require(column >= 1) { "column must be at least 1 but was $column" }
    }

    override fun toString(): String = "$file:$line:$column"
}
