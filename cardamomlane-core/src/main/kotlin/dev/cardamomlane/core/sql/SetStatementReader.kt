package dev.cardamomlane.core.sql

import dev.cardamomlane.core.sql.StatementKind.SET

/**
 * Reads the setting and the value of a SET statement.
 *
 * @property sql the text that contains the statement
 * @property head the first tokens of the statement, beginning with SET
 * @property end the end of the statement in [sql], exclusive
 */
internal class SetStatementReader(private val sql: String, private val head: List<SqlToken>, private val end: Int) {
    fun read(): ScannedStatement {
        val local = isWord(1, "local")
        val start = if (local || (isWord(1, "session") && !isSessionStatement())) 2 else 1
        val first = head.getOrNull(start) ?: return assignment(name = null, valueIndex = start, local)
        return when {
            first.isWord("role") || isWord(start + 1, "authorization") -> roleChange()
            first.isWord("transaction") -> transactionModes("transaction", start + 1, local = true)
            first.isWord("session") -> transactionModes("session characteristics", start + 2, local = false)
            first.isWord("constraints") -> assignment("constraints", start + 1, local = true)
            first.isWord("time") && isWord(start + 1, "zone") -> timeZone(start + 2, local)
            first.isWord("names") -> assignment("client_encoding", start + 1, local)
            first.isWord("schema") -> assignment("search_path", start + 1, local)
            else -> namedSetting(start, local)
        }
    }

    /** Returns whether SESSION is part of SESSION AUTHORIZATION or SESSION CHARACTERISTICS and not the scope of a SET. */
    private fun isSessionStatement() = isWord(2, "authorization") || isWord(2, "characteristics")

    private fun namedSetting(start: Int, local: Boolean): ScannedStatement {
        var index = start
        val name = StringBuilder()
        while (index < head.size && !head[index].isSymbol('=') && !head[index].isWord("to")) {
            name.append(head[index].text.lowercase())
            index++
        }
        val settingName = name.toString()
        if (settingName == "role" || settingName == "session_authorization") return roleChange()
        return assignment(settingName.ifEmpty { null }, index + 1, local)
    }

    private fun timeZone(valueIndex: Int, local: Boolean): ScannedStatement = when {
        isWord(valueIndex, "interval") -> StatementScanner.unsupported("SET TIME ZONE INTERVAL")
        isWord(valueIndex, "local") -> ScannedStatement(SET, setName = "timezone", setLocal = local)
        else -> assignment("timezone", valueIndex, local)
    }

    private fun transactionModes(name: String, valueIndex: Int, local: Boolean): ScannedStatement = ScannedStatement(
        SET,
        readOnly = TransactionModes.isReadOnly(head),
        setName = name,
        setValue = valueAt(valueIndex),
        setLocal = local,
    )

    private fun assignment(name: String?, valueIndex: Int, local: Boolean): ScannedStatement {
        val value = valueAt(valueIndex)
        val allowed = fixedSettings[name]
        if (allowed != null && value?.trim('\'', '"')?.lowercase() !in allowed) {
            return StatementScanner.unsupported("another value of $name than ${allowed.first()}")
        }
        return ScannedStatement(SET, setName = name, setValue = value, setLocal = local)
    }

    /** Returns the text from the token at [index] to the end of the statement, or null if it is DEFAULT or absent. */
    private fun valueAt(index: Int): String? {
        val first = head.getOrNull(index) ?: return null
        if (first.isWord("default") && index == head.lastIndex) return null
        return sql.substring(first.start, end)
    }

    private fun roleChange() = StatementScanner.unsupported(StatementScanner.ROLE_CHANGE)

    private fun isWord(index: Int, word: String): Boolean = head.getOrNull(index)?.isWord(word) ?: false

    private companion object {
        /**
         * Settings that change how a target parses SQL text, each with the values for which [SqlLexer] agrees with the
         * target. Other values are not supported.
         */
        val fixedSettings =
            mapOf(
                "client_encoding" to setOf("utf8", "utf-8", "unicode"),
                "standard_conforming_strings" to setOf("on", "true", "yes", "1"),
            )
    }
}
