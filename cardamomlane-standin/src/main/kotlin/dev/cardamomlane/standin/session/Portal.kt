package dev.cardamomlane.standin.session

import dev.cardamomlane.standin.sql.StatementKind
import dev.cardamomlane.wire.Column
import dev.cardamomlane.wire.FrontendMessage
import io.netty.buffer.ByteBuf

/** A prepared statement with bound parameters, and its result once it has started. */
internal class Portal(val prepared: PreparedSql, private val bind: FrontendMessage.Bind) : AutoCloseable {
    private var result: StatementResult? = null

    /** The columns of the result, or null if it has none. May run the statement. */
    fun columns(runner: StatementRunner): List<Column>? {
        val kind = prepared.statement.kind
        // The columns of these statements come with the result. They are cheap to run, and execute reuses the result.
        if (kind == StatementKind.SHOW || kind == StatementKind.CONTROL) {
            return (start(runner) as? StatementResult.TextRow)?.columns
        }
        return prepared.columns(bind.resultFormats)
    }

    /**
     * Starts or continues the statement and writes at most [maxRows] rows to [out]; 0 writes all.
     *
     * Returns the row count for the command tag, or null if there may be more rows.
     */
    fun execute(runner: StatementRunner, out: ByteBuf, maxRows: Int): Long? {
        val result = start(runner)
        if (result !is StatementResult.Rows ||
            maxRows == 0
        ) {
            return ResultWriter.writeRows(out, result, describe = false)
        }
        val rows = ResultWriter.writeRows(out, result.cursor, maxRows.toLong())
        return if (rows == maxRows.toLong()) null else rows
    }

    private fun start(runner: StatementRunner): StatementResult = result ?: run {
        prepared.setParameters(bind)
        runner.run(prepared.statement, prepared.engineStatement, bind.resultFormats).also { result = it }
    }

    override fun close() {
        (result as? StatementResult.Rows)?.cursor?.close()
    }
}
