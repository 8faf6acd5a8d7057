package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.standin.lane.line.Line

/**
 * One request of the line protocol.
 *
 * @property statementId given by the caller, or [NO_ID] for a statement that the system issues itself
 * @property after the position that the log must hold before the statement runs, or null
 * @property text of the statement, without that position
 */
internal data class LineRequest(
    val statementId: String,
    val after: LogPosition?,
    val text: String,
    val statement: LineStatement = LineStatement.parse(text),
) {
    companion object {
        const val NO_ID = "-"
        private const val AFTER = "AFTER"

        /** Returns null if [line] is no request. */
        fun parse(line: String): LineRequest? {
            if (Line.word(line) != "QUERY") return null
            val (id, text) = Line.fields(line, 2) ?: return null
            if (Line.word(text) != AFTER) return LineRequest(id, after = null, text)
            val (position, rest) = Line.fields(text, 2) ?: return malformed(id, text)
            val after = parsePosition(position) ?: return malformed(id, text)
            return LineRequest(id, after, rest)
        }

        private fun malformed(id: String, text: String) = LineRequest(id, null, text, LineStatement.Malformed)

        /** Parses a position as TERM.NUMBER. */
        private fun parsePosition(text: String): LogPosition? = LogPosition.parse(text.replace('.', ':'))
    }
}
