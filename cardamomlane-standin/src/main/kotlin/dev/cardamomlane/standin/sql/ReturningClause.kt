package dev.cardamomlane.standin.sql

/** Rewrites `INSERT ... RETURNING columns` to the engine's `SELECT columns FROM FINAL TABLE (INSERT ...)`. */
internal object ReturningClause {
    /** Returns the text of [statement], rewritten if it has a RETURNING clause outside parentheses. */
    fun rewrite(statement: SqlTokens.Statement): String {
        val clause = statement.words.find { it.text == "RETURNING" && it.depth == 0 } ?: return statement.text
        val change = statement.text.substring(0, clause.start)
        val columns = statement.text.substring(clause.start + clause.text.length)
        val rows = if (statement.words.first().text == "DELETE") "OLD" else "FINAL"
        return "SELECT $columns FROM $rows TABLE ($change)"
    }
}
