package dev.cardamomlane.standin.session

import dev.cardamomlane.wire.ServerError

/** A parsed SET statement. */
internal sealed interface SettingStatement {
    data class Assign(val name: String, val value: String) : SettingStatement

    data class Default(val name: String) : SettingStatement

    /**
     * The characteristics of a transaction. Absent ones are null.
     *
     * @property session whether they apply to all later transactions of the session
     */
    data class Characteristics(val readOnly: Boolean?, val isolation: String?, val session: Boolean) : SettingStatement

    companion object {
        private val assignment = Regex(
            """^\s*SET\s+(?:(?:SESSION|LOCAL)\s+)?([\w.]+)\s*(?:=|\s+TO\s+)\s*(.+?)\s*$""",
            setOf(RegexOption.IGNORE_CASE, RegexOption.DOT_MATCHES_ALL),
        )
        private val timeZone =
            Regex("""^\s*SET\s+(?:(?:SESSION|LOCAL)\s+)?TIME\s+ZONE\s+(.+?)\s*$""", RegexOption.IGNORE_CASE)
        private val transaction =
            Regex("""^\s*SET\s+(SESSION\s+CHARACTERISTICS\s+AS\s+)?TRANSACTION\s+(.+)$""", RegexOption.IGNORE_CASE)
        private val isolation =
            Regex("""ISOLATION\s+LEVEL\s+(\w+(?:\s+(?:READ|COMMITTED|UNCOMMITTED))?)""", RegexOption.IGNORE_CASE)

        /** Parses [sql]. Throws [SqlFailure] if it is not a valid SET statement. */
        fun parse(sql: String): SettingStatement {
            transaction.find(sql)?.let { match ->
                return characteristics(match.groupValues[2], session = match.groupValues[1].isNotEmpty())
            }
            timeZone.find(sql)?.let { return assign("TimeZone", it.groupValues[1]) }
            val match = assignment.find(sql) ?: throw SqlFailure(ServerError("42601", "syntax error in \"$sql\""))
            return assign(match.groupValues[1], match.groupValues[2])
        }

        /** Finds the transaction characteristics in [text], such as the words after BEGIN or SET TRANSACTION. */
        fun characteristics(text: String, session: Boolean): Characteristics = Characteristics(
            readOnly = when {
                text.contains(Regex("READ\\s+ONLY", RegexOption.IGNORE_CASE)) -> true
                text.contains(Regex("READ\\s+WRITE", RegexOption.IGNORE_CASE)) -> false
                else -> null
            },
            isolation = isolation.find(text)?.groupValues?.get(1)?.lowercase()?.replace(Regex("\\s+"), " "),
            session = session,
        )

        private fun assign(name: String, value: String): SettingStatement =
            if (value.equals("DEFAULT", ignoreCase = true)) Default(name) else Assign(name, unquote(value))

        private fun unquote(value: String): String =
            if (value.length >= 2 && value.startsWith('\'') && value.endsWith('\'')) {
                value.substring(1, value.length - 1).replace("''", "'")
            } else {
                value
            }
    }
}
