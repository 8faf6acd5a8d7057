package dev.cardamomlane.standin.session

import dev.cardamomlane.wire.Column

/** What a statement answers before its command tag. */
internal sealed interface StatementResult {
    /** No rows; [count] rows were changed. */
    data class Done(val count: Long) : StatementResult

    /** Rows of text that the target made itself. */
    data class TextRow(val columns: List<Column>, val values: List<String>) : StatementResult

    /** Rows of the engine. */
    class Rows(val cursor: RowCursor) : StatementResult
}
