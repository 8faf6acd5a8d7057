package dev.cardamomlane.engine.session

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TargetAnswer

/** What a run tells its session. */
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
