package dev.cardamomlane.standin.log

/**
 * One changed row as the engine's values, column by column.
 *
 * @property before the row that went away, or null for an insert
 * @property after the row that came, or null for a delete
 */
internal class RowChange(val table: TableName, val before: List<Any?>?, val after: List<Any?>?)
