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
 * Tells from the text of a statement how it may be routed.
 *
 * This is a tokenizer and not a parser: it never throws, takes time linear in the length of the text and, where the
 * text leaves a doubt, answers with the kind that needs more care. Text that a target would refuse may get any kind.
 */
public object StatementReader {
    private const val MIXED_CONTROL = "transaction control inside a string of several statements"
    private const val MIXED_SET = "SET or RESET inside a string of several statements"
    private val sessionKinds = setOf(SET, RESET)
    private val controlKinds = setOf(BEGIN, COMMIT, ROLLBACK, SAVEPOINT)
    private val byDemand = listOf(EMPTY, SHOW, READ, WRITE, UNSUPPORTED)

    /** Reads [sql], which may hold several statements. */
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

    /** Feeds [scanner] up to the next semicolon outside parentheses and returns true at the end of the text. */
    private fun scanOne(lexer: SqlLexer, scanner: StatementScanner): Boolean {
        while (true) {
            val token = lexer.next() ?: return true
            if (token.isSymbol(';') && scanner.depth == 0) return false
            scanner.accept(token)
        }
    }

    private fun combine(statements: List<ScannedStatement>, marker: String?): StatementFacts {
        val strongest = strongest(statements)
        return StatementFacts(
            kind = strongest.kind,
            tables = statements.flatMapTo(LinkedHashSet()) { it.tables }.toImmutableList(),
            marker = marker,
            count = statements.size,
            readOnly = strongest.readOnly,
            unsupportedReason = strongest.unsupportedReason,
            setName = strongest.setName,
            setValue = strongest.setValue,
            setLocal = strongest.setLocal,
        )
    }

    private fun strongest(statements: List<ScannedStatement>): ScannedStatement {
        if (statements.isEmpty()) return ScannedStatement(EMPTY)
        if (statements.size == 1) return statements.single()
        return statements.firstOrNull { it.kind == UNSUPPORTED }
            ?: refusalOf(statements, controlKinds, MIXED_CONTROL)
            ?: refusalOf(statements, sessionKinds, MIXED_SET)
            ?: statements.maxBy { byDemand.indexOf(it.kind) }
    }

    private fun refusalOf(statements: List<ScannedStatement>, kinds: Set<StatementKind>, reason: String) =
        if (statements.any { it.kind in kinds }) ScannedStatement(UNSUPPORTED, unsupportedReason = reason) else null
}
