package dev.cardamomlane.standin.log

/**
 * One inserted, updated or deleted row. A row is a list of the engine's values in column order.
 *
 * @property before the old row, or null for an insert
 * @property after the new row, or null for a delete
 */
internal class RowChange(val table: TableName, val before: List<Any?>?, val after: List<Any?>?)
