package dev.cardamomlane.standin.session

import dev.cardamomlane.standin.sql.StatementKind
import dev.cardamomlane.wire.Column
import dev.cardamomlane.wire.FrontendMessage
import io.netty.buffer.ByteBuf

/** A prepared statement with its parameters, and its rows once it runs. */
internal class Portal(val prepared: PreparedSql, private val bind: FrontendMessage.Bind) : AutoCloseable {
    private var result: StatementResult? = null

    /** The columns of the result, or null when it has none. */
    fun columns(runner: StatementRunner): List<Column>? {
        val kind = prepared.statement.kind
        // These answer at no cost and without effect, so running them early tells their columns.
        if (kind == StatementKind.SHOW || kind == StatementKind.CONTROL) {
            return (start(runner) as? StatementResult.TextRow)?.columns
        }
        return prepared.columns(bind.resultFormats)
    }

    /** Runs on for at most [maxRows] rows, 0 for all. Returns the rows for the tag, or null when there are more. */
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
