package dev.cardamomlane.standin.session

import dev.cardamomlane.standin.sql.PgType
import dev.cardamomlane.standin.sql.ValueEncoder
import dev.cardamomlane.wire.Column
import java.sql.ResultSet
import java.sql.ResultSetMetaData

/** Reads rows of the engine one at a time and encodes them in the formats that the client requested. */
internal class RowCursor(private val result: ResultSet, formats: List<Int>) : AutoCloseable {
    val columns: List<Column> = columns(result.metaData, formats)
    private val types = columns.map { PgType.ofOid(it.typeOid) }

    /** Returns the next row, or null after the last. */
    fun next(): List<ByteArray?>? {
        if (!result.next()) return null
        return types.mapIndexed { index, type ->
            ValueEncoder.encode(result, index + 1, type, columns[index].format == 1)
        }
    }

    override fun close() {
        result.close()
    }

    companion object {
        /** The columns of [metaData]. [formats] holds one format for all columns, one per column, or none for text. */
        fun columns(metaData: ResultSetMetaData, formats: List<Int>): List<Column> =
            (1..metaData.columnCount).map { index ->
                val type = PgType.ofSqlType(metaData.getColumnType(index), metaData.getColumnTypeName(index))
                val format = if (formats.size == 1) formats[0] else formats.getOrElse(index - 1) { 0 }
                Column(metaData.getColumnLabel(index), type.oid, type.lengthBytes, format)
            }
    }
}
