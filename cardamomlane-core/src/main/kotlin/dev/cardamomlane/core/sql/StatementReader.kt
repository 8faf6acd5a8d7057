package dev.cardamomlane.core.sql

import dev.cardamomlane.core.sql.StatementKind.BEGIN
import dev.cardamomlane.core.sql.StatementKind.COMMIT
import dev.cardamomlane.core.sql.StatementKind.EMPTY
import dev.cardamomlane.core.sql.StatementKind.READ
import dev.cardamomlane.core.sql.StatementKind.RESET
import dev.cardamomlane.core.sql.StatementKind.ROLLBACK
import dev.cardamomlane.core.sql.StatementKind.SAVEPOINT
import dev.cardamomlane.core.sql.StatementKind.SET
import dev.cardamomlane.core.sql.StatementKind.SHOW
import dev.cardamomlane.core.sql.StatementKind.UNSUPPORTED
import dev.cardamomlane.core.sql.StatementKind.WRITE
import kotlinx.collections.immutable.toImmutableList

/**
 * Determines from the text of statements how they may be routed.
 *
 * Works on tokens and does not parse the grammar: it never throws and takes time linear in the length of the text. If
 * the text leaves several kinds possible, it returns the more restrictive one. Text that a target would reject may get
 * any kind.
 */
public object StatementReader {
    private const val MIXED_CONTROL = "transaction control inside a string of several statements"
    private const val MIXED_SET = "SET or RESET inside a string of several statements"
    private val sessionKinds = setOf(SET, RESET)
    private val controlKinds = setOf(BEGIN, COMMIT, ROLLBACK, SAVEPOINT)

    /** The kinds that may occur together in one text, from the least to the most restrictive. */
    private val kindsByRestriction = listOf(EMPTY, SHOW, READ, WRITE, UNSUPPORTED)

    /** Reads [sql], which may contain several statements. */
    public fun read(sql: String): StatementFacts {
        val lexer = SqlLexer(sql)
        val statements = ArrayList<ScannedStatement>(1)
        do {
            val scanner = StatementScanner(sql)
            val ended = scanOne(lexer, scanner)
            if (!scanner.isEmpty) statements.add(scanner.finish())
        } while (!ended)
        return combine(statements, lexer.marker)
    }

    /**
     * Passes the tokens up to the next semicolon outside parentheses to [scanner]. Returns true if the text ended
     * instead.
     */
    private fun scanOne(lexer: SqlLexer, scanner: StatementScanner): Boolean {
        while (true) {
            val token = lexer.next() ?: return true
            if (token.isSymbol(';') && scanner.depth == 0) return false
            scanner.accept(token)
        }
    }

    private fun combine(statements: List<ScannedStatement>, marker: String?): StatementFacts {
        val mostRestrictive = mostRestrictive(statements)
        return StatementFacts(
            kind = mostRestrictive.kind,
            tables = statements.flatMapTo(LinkedHashSet()) { it.tables }.toImmutableList(),
            marker = marker,
            count = statements.size,
            readOnly = mostRestrictive.readOnly,
            unsupportedReason = mostRestrictive.unsupportedReason,
            setName = mostRestrictive.setName,
            setValue = mostRestrictive.setValue,
            setLocal = mostRestrictive.setLocal,
        )
    }

    private fun mostRestrictive(statements: List<ScannedStatement>): ScannedStatement {
        if (statements.isEmpty()) return ScannedStatement(EMPTY)
        if (statements.size == 1) return statements.single()
        return statements.firstOrNull { it.kind == UNSUPPORTED }
            ?: unsupportedIfAny(statements, controlKinds, MIXED_CONTROL)
            ?: unsupportedIfAny(statements, sessionKinds, MIXED_SET)
            ?: statements.maxBy { kindsByRestriction.indexOf(it.kind) }
    }

    private fun unsupportedIfAny(statements: List<ScannedStatement>, kinds: Set<StatementKind>, reason: String) =
        if (statements.any { it.kind in kinds }) ScannedStatement(UNSUPPORTED, unsupportedReason = reason) else null
}
