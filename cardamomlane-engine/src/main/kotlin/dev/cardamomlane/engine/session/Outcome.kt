package dev.cardamomlane.engine.session

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TargetAnswer

/**
 * The result of a statement or commit, as the session receives it. It is a success when [error] is null.
 *
 * @property digest a text from the target which shows that it ran the statement, when it succeeded
 * @property position the end of the target's log when it answered, if it reported one
 */
internal class Outcome(
    val rows: List<String>,
    val digest: String?,
    val error: StatementError?,
    val position: LogPosition?,
) {
    companion object {
        fun of(answer: TargetAnswer): Outcome = Outcome(answer.rows, answer.digest, answer.error, answer.position)

        fun error(code: ErrorCode, text: String): Outcome =
            Outcome(rows = emptyList(), digest = null, error = StatementError(code, text), position = null)
    }
}
