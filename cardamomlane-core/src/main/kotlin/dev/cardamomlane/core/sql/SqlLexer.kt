package dev.cardamomlane.core.sql

import dev.cardamomlane.core.sql.SqlToken.Kind

/**
 * Splits SQL text into tokens by PostgreSQL's lexical rules with standard_conforming_strings on.
 *
 * Comments and white space are skipped. An unterminated string, comment or quoted identifier extends to the end of the
 * text. Each character is visited a bounded number of times, so that the time is linear in the length of the text.
 */
internal class SqlLexer(private val sql: String) {
    private var position = 0
    private var tokenSeen = false
    private var lastWasEscapeString = false

    /**
     * The name in the first block comment, if that comment stands before the first token and holds only a marker such
     * as `lane:legend`. Null otherwise.
     */
    var marker: String? = null
        private set
    private var commentSeen = false

    /** Reads the next token, or returns null at the end of the text. */
    fun next(): SqlToken? {
        skipBlanksAndComments()
        if (position >= sql.length) return null
        tokenSeen = true
        val token = tokenAt(position)
        position = token.end
        lastWasEscapeString = token.kind == Kind.STRING && isEscapeString(token.start)
        return token
    }

    private fun tokenAt(start: Int): SqlToken {
        val char = sql[start]
        return when {
            isStringPrefix(char) && peek(1) == '\'' -> string(start, start + 1)
            isWordStart(char) -> word(start)
            char == '\'' -> string(start, start)
            char == '"' -> quotedIdentifier(start)
            char == '$' -> dollar(start)
            char.isAsciiDigit() || (char == '.' && peek(1).isAsciiDigit()) -> number(start)
            else -> SqlToken(Kind.SYMBOL, sql.substring(start, start + 1), start, start + 1)
        }
    }

    /**
     * Returns whether backslashes are escapes in the string at [start]. A plain string directly after an escape string
     * continues it, so that backslashes are escapes in it too.
     */
    private fun isEscapeString(start: Int): Boolean =
        sql[start] == 'e' || sql[start] == 'E' || (sql[start] == '\'' && lastWasEscapeString)

    private fun skipBlanksAndComments() {
        while (position < sql.length) {
            val char = sql[position]
            when {
                isBlank(char) -> position++
                char == '-' && peek(1) == '-' -> position = endOfLine(position)
                char == '/' && peek(1) == '*' -> skipBlockComment()
                else -> return
            }
        }
    }

    private fun endOfLine(from: Int): Int {
        var end = from
        while (end < sql.length && sql[end] != '\n' && sql[end] != '\r') end++
        return end
    }

    /** Skips a block comment with those nested in it. Advances by two characters for a delimiter, else by one. */
    private fun skipBlockComment() {
        val start = position
        var depth = 1
        position += 2
        while (position < sql.length && depth > 0) {
            when {
                sql[position] == '/' && peek(1) == '*' -> depth++
                sql[position] == '*' && peek(1) == '/' -> depth--
                else -> position--
            }
            position += 2
        }
        position = minOf(position, sql.length)
        if (!tokenSeen && !commentSeen) marker = markerIn(start + 2, position - 2)
        commentSeen = true
    }

    private fun markerIn(start: Int, end: Int): String? {
        if (end - start > MAX_MARKER_COMMENT_LENGTH || end < start) return null
        return MARKER.matchEntire(sql.substring(start, end))?.groupValues?.get(1)
    }

    private fun word(start: Int): SqlToken {
        var end = start + 1
        while (end < sql.length && isWordPart(sql[end])) end++
        return SqlToken(Kind.WORD, sql.substring(start, end).lowercase(), start, end)
    }

    private fun string(start: Int, quote: Int): SqlToken {
        val escapes = isEscapeString(start)
        var end = quote + 1
        while (end < sql.length) {
            val char = sql[end]
            when {
                escapes && char == '\\' -> end++
                char == '\'' && end + 1 < sql.length && sql[end + 1] == '\'' -> end++
                char == '\'' -> return SqlToken(Kind.STRING, "", start, end + 1)
            }
            end++
        }
        return SqlToken(Kind.STRING, "", start, sql.length)
    }

    private fun quotedIdentifier(start: Int): SqlToken {
        val name = StringBuilder()
        var end = start + 1
        while (end < sql.length) {
            if (sql[end] == '"') {
                if (end + 1 >= sql.length || sql[end + 1] != '"') break
                end++
            }
            name.append(sql[end])
            end++
        }
        return SqlToken(Kind.QUOTED_IDENTIFIER, name.toString(), start, minOf(end + 1, sql.length))
    }

    /** Reads a parameter such as `$1` or a dollar-quoted string. Any other dollar sign is a symbol. */
    private fun dollar(start: Int): SqlToken {
        var end = start + 1
        if (end < sql.length && sql[end].isAsciiDigit()) {
            while (end < sql.length && sql[end].isAsciiDigit()) end++
            return SqlToken(Kind.NUMBER, "", start, end)
        }
        while (end < sql.length && sql[end] != '$' && isWordPart(sql[end])) end++
        if (end >= sql.length || sql[end] != '$') return SqlToken(Kind.SYMBOL, "$", start, start + 1)
        val tag = sql.substring(start, end + 1)
        val close = sql.indexOf(tag, end + 1)
        return SqlToken(Kind.STRING, "", start, if (close < 0) sql.length else close + tag.length)
    }

    private fun number(start: Int): SqlToken {
        var end = start + 1
        while (end < sql.length && (sql[end].isAsciiDigit() || sql[end] == '.')) end++
        return SqlToken(Kind.NUMBER, "", start, end)
    }

    private fun peek(offset: Int): Char = sql.getOrElse(position + offset) { '\u0000' }

    private companion object {
        const val MAX_MARKER_COMMENT_LENGTH = 200
        val MARKER = Regex("""\s*lane:([A-Za-z0-9_-]{1,64})\s*""")

        fun isBlank(char: Char) = char == ' ' || char in '\t'..'\r' || char == '\u0000'

        fun isStringPrefix(char: Char) = char in "eEbBxXnN"

        fun isWordStart(char: Char) = char in 'a'..'z' || char in 'A'..'Z' || char == '_' || char >= '\u0080'

        fun isWordPart(char: Char) = isWordStart(char) || char.isAsciiDigit() || char == '$'

        fun Char.isAsciiDigit() = this in '0'..'9'
    }
}
