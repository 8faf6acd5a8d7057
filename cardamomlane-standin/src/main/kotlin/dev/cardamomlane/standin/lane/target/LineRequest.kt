package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.core.LogPosition

/**
 * One request of the line protocol.
 *
 * @property statementId given by the caller, or [NO_ID] for a statement that the system issues itself
 * @property after the position that the log must hold before the statement runs, or null
 */
internal data class LineRequest(val statementId: String, val after: LogPosition?, val statement: LineStatement) {
    companion object {
        const val NO_ID = "-"
        private const val AFTER = "AFTER"

        /** Returns null if [line] is no request. */
        fun parse(line: String): LineRequest? {
            val words = line.split(' ', limit = 3)
            if (words.size < 3 || words[0] != "QUERY") return null
            val text = words[2]
            if (!text.startsWith("$AFTER ")) return LineRequest(words[1], after = null, LineStatement.parse(text))
            val parts = text.split(' ', limit = 3)
            val after = parsePosition(parts[1])
            if (parts.size < 3 || after == null) return LineRequest(words[1], null, LineStatement.Malformed)
            return LineRequest(words[1], after, LineStatement.parse(parts[2]))
        }

        /** Parses a position as TERM.NUMBER. */
        private fun parsePosition(text: String): LogPosition? = LogPosition.parse(text.replace('.', ':'))
    }
}
