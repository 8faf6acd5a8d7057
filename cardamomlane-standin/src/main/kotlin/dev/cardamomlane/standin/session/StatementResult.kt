package dev.cardamomlane.standin.session

import dev.cardamomlane.wire.Column

/** The result of a statement, without its command tag. */
internal sealed interface StatementResult {
    /** No rows; [count] rows were changed. */
    data class Done(val count: Long) : StatementResult

    /** One row of text values that the stand-in produced without the engine. */
    data class TextRow(val columns: List<Column>, val values: List<String>) : StatementResult

    /** Rows that the engine returned. */
    class Rows(val cursor: RowCursor) : StatementResult
}
