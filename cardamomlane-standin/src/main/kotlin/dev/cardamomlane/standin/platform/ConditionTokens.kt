package dev.cardamomlane.standin.platform

/** The tokens of a condition expression, read one after the other. */
internal class ConditionTokens(expression: String) {
    private val tokens = TOKEN.findAll(expression).map(MatchResult::value).toList()
    private var index = 0

    val isAtEnd: Boolean get() = index == tokens.size

    fun peek(): String? = tokens.getOrNull(index)

    fun next(): String = peek()?.also { index++ } ?: throw TableError.validation("the expression ends too early")

    /** Takes the next token if it is [token], without regard to case. */
    fun take(token: String): Boolean {
        if (!peek().equals(token, ignoreCase = true)) return false
        index++
        return true
    }

    fun expect(token: String) {
        if (!take(token)) throw TableError.validation("expected \"$token\" but found \"${peek()}\"")
    }

    private companion object {
        val TOKEN = Regex("""[#:]?[A-Za-z_][\w.]*|<>|<=|>=|[=<>(),]""")
    }
}
