package dev.cardamomlane.standin.sql

/** Splits SQL text into statements, classifies them and rewrites them to the engine's dialect. */
internal object SqlReader {
    /** How many words of a statement [SqlStatement.words] keeps. */
    const val MAX_LEADING_WORDS: Int = 12
    private const val CONTROL_PREFIX = "CARDAMOMLANE_"
    private val reads = setOf("SELECT", "VALUES", "TABLE", "EXPLAIN", "WITH")
    private val writes = setOf("INSERT", "UPDATE", "DELETE", "MERGE")
    private val ddlWords = setOf("CREATE", "DROP", "ALTER", "TRUNCATE", "COMMENT", "GRANT", "REVOKE")
    private val volatileFunctions = setOf("NEXTVAL", "SETVAL")

    /** The words that can follow FOR in a locking clause. */
    private val lockStrengths = setOf("UPDATE", "SHARE", "NO", "KEY")

    /** Reads all statements of [sql]. Empty statements are left out. */
    fun readAll(sql: String): List<SqlStatement> = SqlTokens(sql).statements().map(::classify)

    /** Reads the only statement of [sql], which may be empty. Returns null if there are several. */
    fun readOne(sql: String): SqlStatement? {
        val statements = readAll(sql)
        return if (statements.size > 1) null else statements.firstOrNull() ?: EMPTY
    }

    private fun classify(tokens: SqlTokens.Statement): SqlStatement {
        val kind = kindOf(tokens.words)
        val text = if (kind == StatementKind.WRITE) ReturningClause.rewrite(tokens) else tokens.text
        return SqlStatement(text, kind, tokens.words.take(MAX_LEADING_WORDS).map(SqlTokens.Word::text))
    }

    private fun kindOf(words: List<SqlTokens.Word>): StatementKind {
        val second = words.getOrNull(1)?.text
        return when (val first = words.firstOrNull()?.text) {
            null -> StatementKind.EMPTY
            "BEGIN", "START" -> StatementKind.BEGIN
            "COMMIT", "END" -> StatementKind.COMMIT
            "ROLLBACK", "ABORT" -> if (words.any {
                    it.text == "TO"
                }
            ) {
                StatementKind.ROLLBACK_TO
            } else {
                StatementKind.ROLLBACK
            }
            "SAVEPOINT" -> StatementKind.SAVEPOINT
            "RELEASE" -> StatementKind.RELEASE
            "SET" -> StatementKind.SET
            "RESET" -> StatementKind.RESET
            "DISCARD", "DEALLOCATE" -> if (second == "ALL") StatementKind.RESET else StatementKind.UNSUPPORTED
            "SHOW" -> StatementKind.SHOW
            in reads -> readKind(words)
            in writes -> StatementKind.WRITE
            in ddlWords -> StatementKind.DEFINITION
            else -> if (first.isUnsupported()) StatementKind.UNSUPPORTED else StatementKind.READ
        }
    }

    private fun readKind(words: List<SqlTokens.Word>): StatementKind {
        val texts = words.map(SqlTokens.Word::text)
        return when {
            texts.any { it.startsWith(CONTROL_PREFIX) } -> StatementKind.CONTROL
            texts.any { it in volatileFunctions } -> StatementKind.WRITE
            texts.zipWithNext().any { (word, next) -> word == "FOR" && next in lockStrengths } -> StatementKind.WRITE
            texts.first() == "WITH" && texts.any { it in writes } -> StatementKind.WRITE
            else -> StatementKind.READ
        }
    }

    private fun String.isUnsupported() =
        this in setOf("COPY", "LISTEN", "UNLISTEN", "NOTIFY", "LOCK", "PREPARE", "EXECUTE")

    private val EMPTY = SqlStatement("", StatementKind.EMPTY, emptyList())
}
