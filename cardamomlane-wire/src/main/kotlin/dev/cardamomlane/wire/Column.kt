package dev.cardamomlane.wire

/**
 * One column of a RowDescription.
 *
 * @property typeOid the object id of the column's type in PostgreSQL's catalogue
 * @property typeBytes the length of the type, or -1 if it varies
 * @property format 0 for text, 1 for binary
 */
public data class Column(val name: String, val typeOid: Int, val typeBytes: Int = -1, val format: Int = 0)
