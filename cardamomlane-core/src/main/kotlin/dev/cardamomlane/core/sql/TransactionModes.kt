package dev.cardamomlane.core.sql

internal object TransactionModes {
    /** Returns true if the last of `READ ONLY` and `READ WRITE` in [tokens] is `READ ONLY`. */
    fun isReadOnly(tokens: List<SqlToken>): Boolean {
        val last = tokens.zipWithNext().lastOrNull { (first, second) -> first.isWord("read") && second.isAccess() }
        return last?.second?.isWord("only") ?: false
    }

    private fun SqlToken.isAccess() = isWord("only") || isWord("write")
}
