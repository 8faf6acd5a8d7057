package dev.cardamomlane.core.sql

/**
 * Tracks the names of the common table expressions that a statement defines in a leading WITH clause.
 *
 * A name is known from the end of its expression, because within the expression it still means a table. After WITH
 * RECURSIVE it is known from the start of its expression. A WITH inside parentheses is ignored, because its names are
 * valid only up to the closing parenthesis.
 */
internal class CommonTableExpressions {
    private val names = HashSet<String>()
    private var inWithClause = false
    private var recursive = false
    private var first = true
    private var nameBeforeAs: String? = null
    private var currentName: String? = null
    private var previous: SqlToken? = null

    /** Returns whether [name] means a common table expression at the current token. */
    operator fun contains(name: String): Boolean = name in names

    /** Processes the next token. [depth] is the number of open parentheses after it. */
    fun accept(token: SqlToken, depth: Int) {
        if (first) inWithClause = token.isWord("with")
        first = false
        if (inWithClause) acceptInWithClause(token, depth)
        previous = token
    }

    private fun acceptInWithClause(token: SqlToken, depth: Int) {
        when {
            token.isSymbol('(') && depth == 1 -> if (isExpressionStart()) startExpression()
            token.isSymbol(')') && depth == 0 -> endExpression()
            depth > 0 || token.kind != SqlToken.Kind.WORD -> Unit
            token.text == "recursive" -> recursive = true
            token.text == "as" -> nameBeforeAs = previous?.takeIf { it.isName }?.text
            token.text in mainVerbs -> inWithClause = false
        }
    }

    private fun isExpressionStart() = previous?.isWord("as") == true || previous?.isWord("materialized") == true

    private fun startExpression() {
        currentName = nameBeforeAs
        nameBeforeAs = null
        if (recursive) currentName?.let { names.add(it) }
    }

    private fun endExpression() {
        currentName?.let { names.add(it) }
        currentName = null
    }

    private companion object {
        /** The words that start the statement after the WITH clause. */
        val mainVerbs = setOf("select", "values", "table", "insert", "update", "delete", "merge")
    }
}
