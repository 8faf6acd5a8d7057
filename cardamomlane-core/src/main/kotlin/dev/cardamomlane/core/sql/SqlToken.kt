package dev.cardamomlane.core.sql

/**
 * One token of SQL text.
 *
 * @property text a word in lower case, a quoted identifier without its quotes, or a symbol; empty for other kinds
 * @property start the index of its first character in the SQL text
 * @property end the index after its last character
 */
internal class SqlToken(val kind: Kind, val text: String, val start: Int, val end: Int) {
    enum class Kind { WORD, QUOTED_IDENTIFIER, STRING, NUMBER, SYMBOL }

    val isName: Boolean get() = kind == Kind.WORD || kind == Kind.QUOTED_IDENTIFIER

    fun isWord(word: String): Boolean = kind == Kind.WORD && text == word

    fun isSymbol(symbol: Char): Boolean = kind == Kind.SYMBOL && text[0] == symbol
}
