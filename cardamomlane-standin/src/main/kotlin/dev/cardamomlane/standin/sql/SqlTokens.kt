package dev.cardamomlane.standin.sql

/**
 * Scans SQL text once. Splits it into statements, lists their unquoted words and changes `$1` to the engine's `?1`.
 *
 * Words within quotes and comments are not listed. Comments are replaced by a space.
 */
internal class SqlTokens(private val sql: String) {
    private val found = ArrayList<Statement>()
    private var text = StringBuilder()
    private var words = ArrayList<Word>()
    private var depth = 0
    private var index = 0

    /** One statement with its words. */
    class Statement(val text: String, val words: List<Word>)

    /**
     * An unquoted word in upper case.
     *
     * @property start its index in the statement's text
     * @property depth how many open parentheses enclose it
     */
    class Word(val text: String, val start: Int, val depth: Int)

    /** Returns the statements that have at least one word. */
    fun statements(): List<Statement> {
        while (index < sql.length) step()
        endStatement()
        return found
    }

    private fun step() {
        val char = sql[index]
        when {
            char == '\'' -> copyQuoted('\'')
            char == '"' -> copyQuoted('"')
            sql.startsWith("--", index) -> skipTo(sql.indexOf('\n', index))
            sql.startsWith("/*", index) -> skipTo(commentEnd())
            char == '$' -> copyDollar()
            char == ';' -> {
                endStatement()
                index++
            }
            char.isLetter() || char == '_' -> copyWord()
            char.isDigit() -> copyWhile { it.isLetterOrDigit() || it == '.' }
            else -> copySymbol(char)
        }
    }

    private fun copySymbol(char: Char) {
        if (char == '(') depth++
        if (char == ')') depth--
        text.append(char)
        index++
    }

    private fun copyQuoted(quote: Char) {
        var end = index + 1
        while (end < sql.length && sql[end] != quote) end++
        copyTo(minOf(end + 1, sql.length))
    }

    /** Copies a parameter such as `$1`, or text in dollar quotes such as `$tag$text$tag$`. */
    private fun copyDollar() {
        val digits = digitsAfter(index + 1)
        if (digits.isNotEmpty()) {
            text.append('?').append(digits)
            index += 1 + digits.length
            return
        }
        val tagEnd = sql.indexOf('$', index + 1)
        val end = if (tagEnd < 0) -1 else sql.indexOf(sql.substring(index, tagEnd + 1), tagEnd + 1)
        copyTo(if (end < 0) index + 1 else end + tagEnd + 1 - index)
    }

    private fun digitsAfter(start: Int): String {
        var end = start
        while (end < sql.length && sql[end].isDigit()) end++
        return sql.substring(start, end)
    }

    private fun copyWord() {
        val start = text.length
        copyWhile { it.isLetterOrDigit() || it == '_' }
        words += Word(text.substring(start).uppercase(), start, depth)
    }

    private inline fun copyWhile(accepts: (Char) -> Boolean) {
        var end = index
        while (end < sql.length && accepts(sql[end])) end++
        copyTo(end)
    }

    private fun copyTo(end: Int) {
        text.append(sql, index, end)
        index = end
    }

    private fun skipTo(end: Int) {
        text.append(' ')
        index = if (end < 0) sql.length else end
    }

    /** The index after the block comment at [index], which may be nested, or -1 if it is not closed. */
    private fun commentEnd(): Int {
        var open = 0
        var at = index
        while (at < sql.length) {
            when {
                sql.startsWith("/*", at) -> open++
                sql.startsWith("*/", at) -> open--
                else -> {
                    at++
                    continue
                }
            }
            at += 2
            if (open == 0) return at
        }
        return -1
    }

    private fun endStatement() {
        if (words.isNotEmpty()) found += Statement(text.toString(), words)
        text = StringBuilder()
        words = ArrayList()
        depth = 0
    }
}
