package dev.cardamomlane.standin.platform

/** A reader of the tokens of a condition expression. */
internal class ConditionTokens(expression: String) {
    private val tokens = TOKEN.findAll(expression).map(MatchResult::value).toList()
    private var index = 0

    val isAtEnd: Boolean get() = index == tokens.size

    /** Returns the next token without consuming it, or null at the end. */
    fun peek(): String? = tokens.getOrNull(index)

    /** Consumes and returns the next token. Throws [TableError] at the end. */
    fun next(): String = peek()?.also { index++ } ?: throw TableError.validation("the expression ends too early")

    /** Consumes the next token if it equals [token], ignoring case. Returns whether it did. */
    fun take(token: String): Boolean {
        if (!peek().equals(token, ignoreCase = true)) return false
        index++
        return true
    }

    /** Consumes the next token. Throws [TableError] if it is not [token]. */
    fun expect(token: String) {
        if (!take(token)) throw TableError.validation("expected \"$token\" but found \"${peek()}\"")
    }

    private companion object {
        val TOKEN = Regex("""[#:]?[A-Za-z_][\w.]*|<>|<=|>=|[=<>(),]""")
    }
}
