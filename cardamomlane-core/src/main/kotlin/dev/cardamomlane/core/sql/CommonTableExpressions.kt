package dev.cardamomlane.core.sql

/**
 * The names that a leading WITH gives to its expressions.
 *
 * A name counts only after its expression has ended, or from its start after WITH RECURSIVE: inside its own body it
 * means a table. A WITH inside parentheses is left out, because its names end with the parenthesis.
 */
internal class CommonTableExpressions {
    private val names = HashSet<String>()
    private var inWithClause = false
    private var recursive = false
    private var first = true
    private var candidate: String? = null
    private var open: String? = null
    private var previous: SqlToken? = null

    operator fun contains(name: String): Boolean = name in names

    /** Takes the next token; [depth] is the number of open parentheses after it. */
    fun accept(token: SqlToken, depth: Int) {
        if (first) inWithClause = token.isWord("with")
        first = false
        if (inWithClause) follow(token, depth)
        previous = token
    }

    private fun follow(token: SqlToken, depth: Int) {
        when {
            token.isSymbol('(') && depth == 1 -> if (opensBody()) begin()
            token.isSymbol(')') && depth == 0 -> end()
            depth > 0 || token.kind != SqlToken.Kind.WORD -> Unit
            token.text == "recursive" -> recursive = true
            token.text == "as" -> candidate = previous?.takeIf { it.isName }?.text
            token.text in verbs -> inWithClause = false
        }
    }

    private fun opensBody() = previous?.isWord("as") == true || previous?.isWord("materialized") == true

    private fun begin() {
        open = candidate
        candidate = null
        if (recursive) open?.let { names.add(it) }
    }

    private fun end() {
        open?.let { names.add(it) }
        open = null
    }

    private companion object {
        val verbs = setOf("select", "values", "table", "insert", "update", "delete", "merge")
    }
}
