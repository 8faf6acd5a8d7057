package dev.cardamomlane.core.sql

import dev.cardamomlane.core.sql.StatementKind.BEGIN
import dev.cardamomlane.core.sql.StatementKind.COMMIT
import dev.cardamomlane.core.sql.StatementKind.READ
import dev.cardamomlane.core.sql.StatementKind.RESET
import dev.cardamomlane.core.sql.StatementKind.ROLLBACK
import dev.cardamomlane.core.sql.StatementKind.SAVEPOINT
import dev.cardamomlane.core.sql.StatementKind.SHOW
import dev.cardamomlane.core.sql.StatementKind.UNSUPPORTED
import dev.cardamomlane.core.sql.StatementKind.WRITE

/** Takes the tokens of one statement in order and determines its kind. */
internal class StatementScanner(private val sql: String) {
    /** The first [HEAD_LENGTH] tokens, without leading opening parentheses. */
    private val head = ArrayList<SqlToken>(HEAD_LENGTH)
    private val tables = TableCollector()
    private var previous: SqlToken? = null
    private var beforePrevious: SqlToken? = null
    private var withSeen = false
    private var dataChangeSeen = false
    private var writeSeen = false
    private var unsupportedReason: String? = null

    /** The number of open parentheses. */
    var depth = 0
        private set

    val isEmpty: Boolean get() = head.isEmpty()

    fun accept(token: SqlToken) {
        if (head.size < HEAD_LENGTH && !(head.isEmpty() && token.isSymbol('('))) head.add(token)
        when {
            token.isSymbol('(') -> openParenthesis()
            token.isSymbol(')') -> depth = maxOf(0, depth - 1)
            token.isName -> acceptName(token)
        }
        tables.accept(token)
        beforePrevious = previous
        previous = token
    }

    /**
     * Checks the name before the parenthesis. It counts as a function unless it is the first word of the statement or
     * follows AS, WITH, RECURSIVE or INTO.
     */
    private fun openParenthesis() {
        depth++
        val name = previous?.takeIf { it.isName } ?: return
        if (name === head.first() || beforePrevious.isAnyWord("as", "with", "recursive", "into")) return
        unsupportedReason = unsupportedReason ?: SqlWords.unsupportedFunctions[name.text.lowercase()]
        if (isQualified() || !SqlWords.isReadOnlyBeforeParenthesis(name)) writeSeen = true
    }

    private fun isQualified() = beforePrevious?.isSymbol('.') == true

    private fun acceptName(token: SqlToken) {
        if (token.text == "pg_temp") unsupportedReason = unsupportedReason ?: TEMPORARY
        if (token.kind != SqlToken.Kind.WORD || previous?.isSymbol('.') == true) return
        when (token.text) {
            "with" -> withSeen = true
            "into" -> writeSeen = true
            "update", "share" -> if (previous.isAnyWord("for", "key")) writeSeen = true
            "hold" -> if (previous.isAnyWord("with")) unsupportedReason = unsupportedReason ?: "cursors WITH HOLD"
            "temp", "temporary" -> if (isTemporaryObject()) unsupportedReason = unsupportedReason ?: TEMPORARY
        }
        if (token.text in SqlWords.dataChanges) dataChangeSeen = true
    }

    private fun isTemporaryObject(): Boolean = when {
        isWord(0, "create") -> previous.isAnyWord("create", "replace", "global", "local")
        isWord(0, "insert") || isWord(0, "merge") -> false
        else -> previous.isAnyWord("into", "global", "local")
    }

    /** Returns the result after the last token. Must not be called if the statement [isEmpty]. */
    fun finish(): ScannedStatement {
        val verb = head.first().takeIf { it.kind == SqlToken.Kind.WORD }?.text
        val reason = SqlWords.unsupportedVerbs[verb] ?: unsupportedReason
        return when {
            reason != null -> unsupported(reason)
            verb == "set" -> SetStatementReader(sql, head, checkNotNull(previous).end).read()
            else -> classify(verb)
        }
    }

    private fun classify(verb: String?): ScannedStatement = when (verb) {
        "begin", "start" -> ScannedStatement(BEGIN, readOnly = TransactionModes.isReadOnly(head))
        "commit", "end" -> endOfTransaction(COMMIT)
        "rollback", "abort" -> rollback()
        "savepoint", "release" -> ScannedStatement(SAVEPOINT)
        "show" -> ScannedStatement(SHOW, setName = settingName())
        "reset" -> reset()
        "explain" -> scanned(if (isReadOnlyExplain()) READ else WRITE)
        in SqlWords.readVerbs, in SqlWords.cursorVerbs -> scanned(if (changesData()) WRITE else READ)
        else -> scanned(WRITE)
    }

    private fun changesData() = writeSeen || (withSeen && dataChangeSeen)

    private fun isReadOnlyExplain(): Boolean {
        if (head.none { it.isWord("analyze") || it.isWord("analyse") }) return true
        val verb = head.drop(1).firstOrNull { it.kind == SqlToken.Kind.WORD && it.text in SqlWords.explainedVerbs }
        return verb != null && verb.text in SqlWords.readVerbs && !changesData()
    }

    private fun rollback(): ScannedStatement =
        if (isWord(1, "to") || isWord(2, "to")) ScannedStatement(SAVEPOINT) else endOfTransaction(ROLLBACK)

    private fun endOfTransaction(kind: StatementKind): ScannedStatement = when {
        isWord(1, "prepared") -> unsupported("two-phase commit")
        head.any { it.isWord("chain") } && head.none { it.isWord("no") } -> unsupported("AND CHAIN")
        else -> ScannedStatement(kind)
    }

    private fun reset(): ScannedStatement {
        val name = settingName()
        if (name == "role" || isWord(1, "session") && isWord(2, "authorization")) return unsupported(ROLE_CHANGE)
        return ScannedStatement(RESET, setName = name)
    }

    private fun settingName(): String? = if (isWord(1, "time") && isWord(2, "zone")) {
        "timezone"
    } else {
        head.drop(1).joinToString("") { it.text.lowercase() }.ifEmpty { null }
    }

    private fun scanned(kind: StatementKind) = ScannedStatement(kind, tables = tables.finish())

    private fun isWord(index: Int, word: String): Boolean = head.getOrNull(index)?.isWord(word) ?: false

    companion object {
        private const val HEAD_LENGTH = 24
        private const val TEMPORARY = "temporary objects"
        const val ROLE_CHANGE = "a change of role"

        fun unsupported(reason: String) = ScannedStatement(UNSUPPORTED, unsupportedReason = reason)

        private fun SqlToken?.isAnyWord(vararg words: String): Boolean = this != null && words.any(::isWord)
    }
}
