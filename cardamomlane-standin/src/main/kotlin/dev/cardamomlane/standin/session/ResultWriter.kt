package dev.cardamomlane.standin.session

import dev.cardamomlane.standin.sql.SqlStatement
import dev.cardamomlane.wire.BackendWriter
import io.netty.buffer.ByteBuf

/** Writes results as protocol messages. */
internal object ResultWriter {
    /** Writes the rows of [result] and the command tag. */
    fun write(out: ByteBuf, result: StatementResult, statement: SqlStatement, describe: Boolean) {
        BackendWriter.commandComplete(out, statement.tag(writeRows(out, result, describe)))
    }

    /** Writes all rows of [result], after their description if [describe]. Returns the row count for the tag. */
    fun writeRows(out: ByteBuf, result: StatementResult, describe: Boolean): Long = when (result) {
        is StatementResult.Done -> result.count
        is StatementResult.TextRow -> {
            if (describe) BackendWriter.rowDescription(out, result.columns)
            BackendWriter.dataRow(out, result.values.map { it.toByteArray() })
            1
        }
        is StatementResult.Rows -> result.cursor.use { cursor ->
            if (describe) BackendWriter.rowDescription(out, cursor.columns)
            writeRows(out, cursor, limit = Long.MAX_VALUE)
        }
    }

    /** Writes at most [limit] rows of [cursor]. Returns how many were written. */
    fun writeRows(out: ByteBuf, cursor: RowCursor, limit: Long): Long {
        var rows = 0L
        while (rows < limit) {
            BackendWriter.dataRow(out, cursor.next() ?: return rows)
            rows++
        }
        return rows
    }
}
